"""Profile versions of a node: every version is installed whole or not at all."""

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
        Version, from 1; grows at every write, deletions included.
    deleted : bool
        Whether the version is a tombstone.
    writer : str
        Operator that wrote it; empty on nodes that got it from a peer.
    operation : str
        Identifier of the write; likewise.
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


class Offer(Record):
    """A version with the outcome of its check, as the install chart sees it."""

    __slots__ = ("version", "profile", "refusal")

    def __init__(self, version, profile, refusal):
        self.version = version
        self.profile = profile
        self.refusal = refusal


@runs_chart("install")
class ProfileSlot:
    """The versions of one profile; runs the chart ``install``.

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
        "seen",
        "state",
    )

    def __init__(self, name):
        self.name = name
        self.state = self.chart.initial
        self.seen = 0
        self.latest = None
        self.installed = None
        self.previous = None
        self.profile = None
        self.refused = None

    def offer(self, version, profile, refusal):
        """Offer a checked version and return the effects."""
        offer = Offer(version, profile, refusal)
        if refusal is not None:
            return self.chart.fire(self, "reject", offer)
        event = "delete" if version.deleted else "accept"
        return self.chart.fire(self, event, offer)

    def is_newer(self, offer):
        """Whether the version is newer than all that were seen."""
        return offer.version.version > self.seen

    def install(self, offer):
        """Put the version in force."""
        self._replace(offer.version, offer.profile)
        return [
            Count("versions_installed_total"),
            StateChanged(f"profile {self.name}", f"version {self.seen}", "installed"),
            ConfigurationChanged(),
        ]

    def remove(self, offer):
        """Take the profile out of force."""
        self._replace(offer.version, None)
        return [
            Count("versions_installed_total"),
            StateChanged(f"profile {self.name}", f"version {self.seen}", "deleted"),
            ConfigurationChanged(),
        ]

    def refuse(self, offer):
        """Note the refused version; what is in force stays."""
        self.seen = offer.version.version
        self.latest = offer.version
        reason = f"{offer.refusal.kind}: {offer.refusal.detail}"
        self.refused = RefusedVersion(self.name, self.seen, reason)
        return [
            Count("versions_refused_total", offer.refusal.kind),
            StateChanged(f"profile {self.name}", f"refused {self.seen}", reason),
        ]

    def count_stale(self, offer):
        """Count a version that is not newer."""
        return [Count("versions_refused_total", Kind.VERSION_STALE)]

    def _replace(self, version, profile):
        self.previous = self.installed
        self.installed = self.latest = version
        self.profile = profile
        self.seen = version.version
        self.refused = None


class VersionTable:
    """All profile versions of a node.

    Parameters
    ----------
    codec : BodyCodec
        Encoding of bodies.
    """

    __slots__ = ("codec", "deltas", "hash", "slots", "total")

    def __init__(self, codec):
        self.codec = codec
        self.slots = {}
        self.hash = 0
        self.total = 0
        self.deltas = {}

    def install(self, version):
        """Check a version and install it if it is newer and good.

        Parameters
        ----------
        version : ProfileVersion
            The offered version.

        Returns
        -------
        list
            Effects; empty of `ConfigurationChanged` if nothing changed.
        """
        slot = self._slot(version.name)
        if version.version <= slot.seen:
            return slot.offer(version, None, None)
        checked = self._check(version)
        if len(version.body) > MAX_BODY_BYTES:
            version.body = b""
        before = slot.seen
        if isinstance(checked, Refused):
            effects = slot.offer(version, None, checked)
        else:
            effects = slot.offer(version, checked.value, None)
        self._update_hash(slot.name, before, slot.seen)
        return effects

    def seen(self, name):
        """Return the newest version seen of a profile, 0 if none."""
        slot = self.slots.get(name)
        return slot.seen if slot else 0

    def profiles(self):
        """Return the profiles in force by name."""
        return {n: s.profile for n, s in self.slots.items() if s.profile is not None}

    def refused(self):
        """Return the versions that are refused and not yet replaced."""
        return [slot.refused for slot in self.slots.values() if slot.refused]

    def change(self, name, known):
        """Return a version for the wire.

        Parameters
        ----------
        name : str
            Profile.
        known : int
            Version that the receiver has; 0 asks for the whole body.

        Returns
        -------
        Change or None
            None if nothing newer than ``known`` has been seen. A refused
            version is passed on too, so that every node reports it.
        """
        slot = self.slots.get(name)
        if slot is None or slot.latest is None or slot.seen <= known:
            return None
        version = slot.latest
        base, body = 0, b""
        if not version.deleted:
            base, body = self._packed(slot, known)
        return Change(
            name,
            version.version,
            base,
            version.deleted,
            body,
            hash_bytes(version.body),
        )

    def restore(self, change):
        """Return ``Done`` with the `ProfileVersion` of a change, or the reason.

        A delta against a version that is not installed here has the kind
        ``delta_unusable``: the whole body has to be requested.
        """
        if change.deleted:
            return Done(self._version(change, b""))
        if change.base == 0:
            body = self.codec.unpack(change.body)
        else:
            body = self._apply(change)
        if isinstance(body, Refused):
            return body
        if hash_bytes(body.value) != change.digest:
            return Refused(Kind.DELTA_UNUSABLE, f"{change.name}: hash differs")
        return Done(self._version(change, body.value))

    def _slot(self, name):
        if name not in self.slots:
            self.slots[name] = ProfileSlot(name)
        return self.slots[name]

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
        self.total += after - before
        self.deltas.pop(name, None)

    def _packed(self, slot, known):
        previous = slot.previous
        if slot.latest is not slot.installed:
            return 0, self.codec.pack(slot.latest.body)
        if known == 0 or previous is None or previous.version != known:
            return 0, self.codec.pack(slot.installed.body)
        if previous.deleted:
            return 0, self.codec.pack(slot.installed.body)
        if slot.name not in self.deltas:
            self.deltas[slot.name] = self.codec.pack_delta(
                previous.body, slot.installed.body
            )
        return known, self.deltas[slot.name]

    def _apply(self, change):
        slot = self.slots.get(change.name)
        if slot is None or slot.installed is None or slot.installed.deleted:
            return Refused(Kind.DELTA_UNUSABLE, f"{change.name}: no base")
        if slot.installed.version != change.base:
            return Refused(Kind.DELTA_UNUSABLE, f"{change.name}: other base")
        return self.codec.apply_delta(slot.installed.body, change.body)

    def _version(self, change, body):
        return ProfileVersion(
            change.name,
            change.version,
            change.deleted,
            "",
            "",
            body,
        )
