"""Profile writes by operators: check, compare-and-swap, read back."""

from abc import ABC, abstractmethod

from cyclamentally.errors import Done, Kind, Refused
from cyclamentally.platform import HISTORY_PREFIX, PROFILE_PREFIX
from cyclamentally.profiles import MAX_BODY_BYTES, check_profile
from cyclamentally.records import Record
from cyclamentally.versions import ProfileVersion

HISTORY_LENGTH = 10
MAX_RECENT_WRITES = 20
MAX_WRITE_ATTEMPTS = 5


class PastWrite(Record):
    """The write of an earlier version."""

    __slots__ = ("version", "writer", "operation")

    def __init__(self, version, writer, operation):
        self.version = version
        self.writer = writer
        self.operation = operation


class StoredProfile(Record):
    """A profile as stored on the platform.

    Parameters
    ----------
    version : ProfileVersion
        Current version.
    recent : list of PastWrite
        Earlier writes, newest first.
    """

    __slots__ = ("version", "recent")

    def __init__(self, version, recent):
        self.version = version
        self.recent = recent


class StoredProfileCodec(ABC):
    """Encoding of profiles for storage on the platform."""

    __slots__ = ()

    @abstractmethod
    def encode(self, stored):
        """Return the bytes of a `StoredProfile`."""

    @abstractmethod
    def decode(self, name, value):
        """Return ``Done`` with a `StoredProfile` or ``Refused``."""


class Publisher:
    """Read and write profiles in the platform's key-value store.

    Parameters
    ----------
    platform : Platform
        The store.
    stored_codec : StoredProfileCodec
        Encoding of stored profiles.
    body_codec : BodyCodec
        Encoding of profile bodies.
    writer : str
        Operator recorded with each write.
    new_operation_id : callable
        Returns a unique identifier for a write.
    """

    __slots__ = ("body_codec", "new_operation_id", "platform", "stored_codec", "writer")

    def __init__(self, platform, stored_codec, body_codec, writer, new_operation_id):
        self.platform = platform
        self.stored_codec = stored_codec
        self.body_codec = body_codec
        self.writer = writer
        self.new_operation_id = new_operation_id

    def put(self, name, document, expected=None):
        """Write a new version of a profile.

        Parameters
        ----------
        name : str
            Profile.
        document : dict
            Content of the profile.
        expected : int, optional
            Version that the operator has read; the write is refused with
            ``version_conflict`` if the profile has another version now.

        Returns
        -------
        Done or Refused
            ``Done`` holds the `ProfileVersion` written.
        """
        checked = check_profile(name, document)
        if isinstance(checked, Refused):
            return checked
        body = self.body_codec.canonical(document)
        if len(body) > MAX_BODY_BYTES:
            detail = f"{name} has {len(body)} bytes, the maximum is {MAX_BODY_BYTES}"
            return Refused(Kind.PROFILE_TOO_LARGE, detail)
        return self._write(name, False, body, expected)

    def delete(self, name, expected=None):
        """Write a tombstone, so that versions of the name continue to grow."""
        return self._write(name, True, b"", expected)

    def get(self, name):
        """Return ``Done`` with the `StoredProfile` of a name."""
        read = self._read(name)
        if isinstance(read, Refused):
            return read
        if read.value.stored is None:
            return Refused(Kind.PROFILE_MISSING, f"no profile {name}")
        return Done(read.value.stored)

    def list(self):
        """Return ``Done`` with the current `ProfileVersion` of every profile."""
        listing = self.platform.read_all(PROFILE_PREFIX)
        if isinstance(listing, Refused):
            return listing
        versions = []
        for entry in listing.value.entries:
            name = entry.key.removeprefix(PROFILE_PREFIX)
            decoded = self.stored_codec.decode(name, entry.value)
            if isinstance(decoded, Refused):
                return decoded
            versions.append(decoded.value.version)
        return Done(sorted(versions, key=lambda version: version.name))

    def history(self, name):
        """Return ``Done`` with the stored versions of a profile, oldest first."""
        current = self.get(name)
        if isinstance(current, Refused):
            return current
        listing = self.platform.read_all(f"{HISTORY_PREFIX}{name}/")
        if isinstance(listing, Refused):
            return listing
        versions = {current.value.version.version: current.value.version}
        for entry in listing.value.entries:
            decoded = self.stored_codec.decode(name, entry.value)
            if isinstance(decoded, Done):
                version = decoded.value.version
                versions.setdefault(version.version, version)
        return Done([versions[number] for number in sorted(versions)])

    def revert(self, name, version):
        """Write the body of an earlier version as a new version."""
        history = self.history(name)
        if isinstance(history, Refused):
            return history
        for past in history.value:
            if past.version == version and not past.deleted:
                return self._write(name, False, past.body, None)
        detail = f"{name}: version {version} has no body in the history"
        return Refused(Kind.PROFILE_MISSING, detail)

    def _read(self, name):
        entry = self.platform.read(PROFILE_PREFIX + name)
        if isinstance(entry, Refused):
            return entry
        if entry.value.revision == 0:
            return Done(_ReadResult(0, None))
        decoded = self.stored_codec.decode(name, entry.value.value)
        if isinstance(decoded, Refused):
            return decoded
        return Done(_ReadResult(entry.value.revision, decoded.value))

    def _write(self, name, deleted, body, expected):
        read = self._read(name)
        if isinstance(read, Refused):
            return read
        stored = read.value.stored
        current = stored.version.version if stored else 0
        if expected is not None and expected != current:
            return _conflict(name, stored)
        if deleted and (stored is None or stored.version.deleted):
            return Refused(Kind.PROFILE_MISSING, f"no profile {name}")
        operation = self.new_operation_id()
        version = ProfileVersion(
            name, current + 1, deleted, self.writer, operation, body
        )
        archived = self._archive(stored)
        if isinstance(archived, Refused):
            return archived
        return self._compare_and_swap(
            version, _past_writes(stored), read.value.revision
        )

    def _archive(self, stored):
        """Copy the version that is about to be replaced into the history."""
        if stored is None:
            return Done()
        version = stored.version
        slot = version.version % HISTORY_LENGTH
        key = f"{HISTORY_PREFIX}{version.name}/{slot}"
        value = self.stored_codec.encode(StoredProfile(version, []))
        outcome = Done()
        # A concurrent writer that replaces the same version archives the same bytes.
        for _ in range(MAX_WRITE_ATTEMPTS):
            entry = self.platform.read(key)
            if isinstance(entry, Refused):
                return entry
            if entry.value.value == value:
                return Done()
            outcome = self.platform.write(key, value, entry.value.revision)
            if isinstance(outcome, Done):
                return outcome
            if outcome.kind == Kind.PLATFORM_UNAVAILABLE:
                return outcome
        return Refused(
            Kind.PLATFORM_UNAVAILABLE,
            f"{key}: write not confirmed in {MAX_WRITE_ATTEMPTS} attempts: "
            f"{outcome.detail}",
        )

    def _compare_and_swap(self, version, recent, revision):
        """Write until the outcome is known, at most `MAX_WRITE_ATTEMPTS` times.

        The compare-and-swap can be repeated after a lost answer: if the first
        one took effect, the second one conflicts, and the entry read back
        contains the operation.
        """
        key = PROFILE_PREFIX + version.name
        value = self.stored_codec.encode(StoredProfile(version, recent))
        is_uncertain = False
        written = None
        for _ in range(MAX_WRITE_ATTEMPTS):
            written = self.platform.write(key, value, revision)
            if isinstance(written, Done):
                return Done(version)
            if written.kind == Kind.VERSION_CONFLICT:
                return self._resolve_conflict(version, is_uncertain)
            if written.kind == Kind.PLATFORM_OUTCOME_UNKNOWN:
                is_uncertain = True
            elif not is_uncertain:
                return written
        detail = f"{version.name} version {version.version}: {written.detail}"
        return Refused(Kind.PLATFORM_OUTCOME_UNKNOWN, detail)

    def _resolve_conflict(self, version, is_uncertain):
        read = self._read(version.name)
        if isinstance(read, Refused):
            kind = Kind.PLATFORM_OUTCOME_UNKNOWN if is_uncertain else read.kind
            return Refused(kind, read.detail)
        stored = read.value.stored
        if stored is not None and stored.version.operation == version.operation:
            return Done(version)
        past = stored.recent if stored else []
        if any(write.operation == version.operation for write in past):
            return Done(version)
        return _conflict(version.name, stored)


class _ReadResult(Record):
    """A stored profile, or None, with the revision for compare-and-swap."""

    __slots__ = ("revision", "stored")

    def __init__(self, revision, stored):
        self.revision = revision
        self.stored = stored


def _conflict(name, stored):
    if stored is None:
        return Refused(Kind.VERSION_CONFLICT, f"{name} does not exist")
    version = stored.version
    detail = f"{name} is at version {version.version}, written by {version.writer}"
    return Refused(Kind.VERSION_CONFLICT, detail)


def _past_writes(stored):
    if stored is None:
        return []
    version = stored.version
    newest = PastWrite(version.version, version.writer, version.operation)
    return [newest, *stored.recent][:MAX_RECENT_WRITES]
