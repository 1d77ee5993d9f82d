"""Profile versions of a node; a version is installed completely or not at all."""

from cyclamentally.chart import runs_chart
from cyclamentally.effects import ConfigurationChanged, Count, StateChanged
from cyclamentally.errors import Done, Kind, Refused
from cyclamentally.hashing import hash_bytes, hash_text
from cyclamentally.model import Change, RefusedVersion
from cyclamentally.profiles import MAX_BODY_BYTES, check_profile
from cyclamentally.records import Record


class ProfileVersion(Record):
    """One version of a profile.

    Parameters
    ----------
    name : str
        Profile.
    version : int
        Version, from 1; incremented by every write, deletions included.
    deleted : bool
        Whether the version is a tombstone.
    writer : str
        Operator that wrote it; empty on nodes that received it from a peer.
    operation : str
        Identifier of the write; empty in the same cases.
    body : bytes
        Canonical body; empty for a tombstone.
    """

    __slots__ = ("name", "version", "deleted", "writer", "operation", "body")

    def __init__(self, name, version, deleted, writer, operation, body):
        self.name = name
        self.version = version
        self.deleted = deleted
        self.writer = writer
        self.operation = operation
        self.body = body


class CheckedVersion(Record):
    """A version with the outcome of its check: a profile or a refusal."""

    __slots__ = ("version", "profile", "refusal")

    def __init__(self, version, profile, refusal):
        self.version = version
        self.profile = profile
        self.refusal = refusal


@runs_chart("install")
class TrackedProfile:
    """Versions of one profile on this node; runs the chart ``install``.

    Parameters
    ----------
    name : str
        Profile.
    """

    __slots__ = (
        "installed",
        "latest",
        "name",
        "previous",
        "profile",
        "refused",
        "newest_seen",
        "state",
    )

    def __init__(self, name):
        self.name = name
        self.state = self.chart.initial
        self.newest_seen = 0
        self.latest = None
        self.installed = None
        self.previous = None
        self.profile = None
        self.refused = None

    def apply(self, version, profile, refusal):
        """Run the event for a checked version and return the effects."""
        checked = CheckedVersion(version, profile, refusal)
        if refusal is not None:
            return self.chart.fire(self, "reject", checked)
        event = "delete" if version.deleted else "accept"
        return self.chart.fire(self, event, checked)

    def is_newer(self, checked):
        """Whether the version is newer than all versions seen so far."""
        return checked.version.version > self.newest_seen

    def install(self, checked):
        """Put the version in force."""
        self._replace(checked.version, checked.profile)
        return [
            Count("versions_installed_total"),
            StateChanged(
                f"profile {self.name}", f"version {self.newest_seen}", "installed"
            ),
            ConfigurationChanged(),
        ]

    def remove(self, checked):
        """Take the profile out of force."""
        self._replace(checked.version, None)
        return [
            Count("versions_installed_total"),
            StateChanged(
                f"profile {self.name}", f"version {self.newest_seen}", "deleted"
            ),
            ConfigurationChanged(),
        ]

    def refuse(self, checked):
        """Record the refused version; the installed one stays in force."""
        self.newest_seen = checked.version.version
        self.latest = checked.version
        reason = f"{checked.refusal.kind}: {checked.refusal.detail}"
        self.refused = RefusedVersion(self.name, self.newest_seen, reason)
        return [
            Count("versions_refused_total", checked.refusal.kind),
            StateChanged(f"profile {self.name}", f"refused {self.newest_seen}", reason),
        ]

    def count_stale(self, checked):
        """Count a version that is not newer than the newest one seen."""
        return [Count("versions_refused_total", Kind.VERSION_STALE)]

    def _replace(self, version, profile):
        self.previous = self.installed
        self.installed = self.latest = version
        self.profile = profile
        self.newest_seen = version.version
        self.refused = None


class VersionTable:
    """Profile versions of a node, by profile.

    Parameters
    ----------
    codec : BodyCodec
        Encoding of bodies.
    """

    __slots__ = ("codec", "deltas", "hash", "tracked", "version_sum")

    def __init__(self, codec):
        self.codec = codec
        self.tracked = {}
        self.hash = 0
        self.version_sum = 0
        self.deltas = {}

    def install(self, version):
        """Check a version and install it if it is newer and valid.

        Parameters
        ----------
        version : ProfileVersion
            The received version.

        Returns
        -------
        list
            Effects; without `ConfigurationChanged` if nothing changed.
        """
        tracked = self._find_or_add(version.name)
        if version.version <= tracked.newest_seen:
            return tracked.apply(version, None, None)
        checked = self._check(version)
        if len(version.body) > MAX_BODY_BYTES:
            version.body = b""
        before = tracked.newest_seen
        if isinstance(checked, Refused):
            effects = tracked.apply(version, None, checked)
        else:
            effects = tracked.apply(version, checked.value, None)
        self._update_hash(tracked.name, before, tracked.newest_seen)
        return effects

    def newest_seen(self, name):
        """Return the newest version seen of a profile, 0 if none."""
        tracked = self.tracked.get(name)
        return tracked.newest_seen if tracked else 0

    def profiles(self):
        """Return the profiles in force by name."""
        return {n: s.profile for n, s in self.tracked.items() if s.profile is not None}

    def refused(self):
        """Return the refused versions that no newer version has replaced."""
        return [tracked.refused for tracked in self.tracked.values() if tracked.refused]

    def change_since(self, name, known):
        """Return the newest version of a profile in the form for the wire.

        Parameters
        ----------
        name : str
            Profile.
        known : int
            Version that the receiver has; 0 yields the full body.

        Returns
        -------
        Change or None
            None if nothing newer than ``known`` has been seen. A refused
            version is forwarded too, so that every node reports it.
        """
        tracked = self.tracked.get(name)
        if tracked is None or tracked.latest is None or tracked.newest_seen <= known:
            return None
        version = tracked.latest
        base, body = 0, b""
        if not version.deleted:
            base, body = self._pack_body(tracked, known)
        return Change(
            name,
            version.version,
            base,
            version.deleted,
            body,
            hash_bytes(version.body),
        )

    def decode_change(self, change):
        """Return ``Done`` with the `ProfileVersion` of a change, or ``Refused``.

        A delta against a version that is not installed here has the kind
        ``delta_unusable``: the full body has to be requested.
        """
        if change.deleted:
            return Done(self._version_from(change, b""))
        if change.base == 0:
            body = self.codec.unpack(change.body)
        else:
            body = self._apply(change)
        if isinstance(body, Refused):
            return body
        if hash_bytes(body.value) != change.digest:
            return Refused(
                Kind.DELTA_UNUSABLE, f"{change.name}: body does not match its hash"
            )
        return Done(self._version_from(change, body.value))

    def _find_or_add(self, name):
        if name not in self.tracked:
            self.tracked[name] = TrackedProfile(name)
        return self.tracked[name]

    def _check(self, version):
        if version.deleted:
            return Done()
        document = self.codec.parse(version.body)
        if isinstance(document, Refused):
            return document
        return check_profile(version.name, document.value)

    def _update_hash(self, name, before, after):
        if before:
            self.hash ^= hash_text(f"{name}:{before}")
        self.hash ^= hash_text(f"{name}:{after}")
        self.version_sum += after - before
        self.deltas.pop(name, None)

    def _pack_body(self, tracked, known):
        previous = tracked.previous
        if tracked.latest is not tracked.installed:
            return 0, self.codec.pack(tracked.latest.body)
        if known == 0 or previous is None or previous.version != known:
            return 0, self.codec.pack(tracked.installed.body)
        if previous.deleted:
            return 0, self.codec.pack(tracked.installed.body)
        if tracked.name not in self.deltas:
            self.deltas[tracked.name] = self.codec.pack_delta(
                previous.body, tracked.installed.body
            )
        return known, self.deltas[tracked.name]

    def _apply(self, change):
        tracked = self.tracked.get(change.name)
        if tracked is None or tracked.installed is None or tracked.installed.deleted:
            return Refused(
                Kind.DELTA_UNUSABLE,
                f"{change.name}: delta for version {change.base}, none is installed",
            )
        if tracked.installed.version != change.base:
            return Refused(
                Kind.DELTA_UNUSABLE,
                f"{change.name}: delta for version {change.base}, "
                f"{tracked.installed.version} is installed",
            )
        return self.codec.apply_delta(tracked.installed.body, change.body)

    def _version_from(self, change, body):
        return ProfileVersion(
            change.name,
            change.version,
            change.deleted,
            "",
            "",
            body,
        )
