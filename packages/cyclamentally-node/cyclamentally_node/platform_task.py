"""Task that owns the connection to the platform."""

from contextlib import suppress
from random import Random
from threading import Timer

from absl.logging import get_absl_logger
from pykka import ActorDeadError, ThreadingActor

from cyclamentally.effects import Count
from cyclamentally.errors import Refused
from cyclamentally.limits import Backoff
from cyclamentally.platform import PROFILE_PREFIX, SEED_PREFIX
from cyclamentally_node.task_messages import (
    AttachControl,
    PlatformState,
    PlatformVersions,
    Poll,
    PublishSeed,
    ReadSeeds,
    RecordCounts,
    SeedsFound,
    SetWatch,
)

logger = get_absl_logger()

MIN_BACKOFF_S = 0.5
MAX_BACKOFF_S = 10.0


class PlatformTask(ThreadingActor):
    """Watch profiles and read seeds, and report them to the control task.

    Parameters
    ----------
    platform : Platform
        Client of the platform's store; owned by this task.
    stored_codec : StoredProfileCodec
        Encoding of stored profiles.
    watch_wait_s : float
        Longest wait of a watch call, in seconds.
    seed_address, domain : str
        Peer address and failure domain of this node.
    meters : pykka.ActorRef
        Task that keeps the metrics.
    """

    use_daemon_thread = True

    def __init__(
        self, platform, stored_codec, watch_wait_s, seed_address, domain, meters
    ):
        super().__init__()
        self.platform = platform
        self.stored_codec = stored_codec
        self.watch_wait_s = watch_wait_s
        self.seed_address = seed_address
        self.domain = domain
        self.meters = meters
        self.control = None
        self.is_active = False
        self.is_polling = False
        self.cursor = None
        self.backoff = Backoff(MIN_BACKOFF_S, MAX_BACKOFF_S, Random())

    def on_receive(self, message):
        """Handle a message of another task or of this one."""
        if isinstance(message, AttachControl):
            self.control = message.control
        elif isinstance(message, SetWatch):
            self._set_watch(message.active)
        elif isinstance(message, Poll):
            self.is_polling = False
            self._poll()
        elif isinstance(message, ReadSeeds):
            self._read_seeds()
        elif isinstance(message, PublishSeed):
            self._publish_seed(message.slot)

    def on_stop(self):
        """Close the connection."""
        self.platform.close()

    def _read_seeds(self):
        listing = self.platform.read_all(SEED_PREFIX)
        if isinstance(listing, Refused):
            self._count("platform_calls_total", "failed")
            self._schedule_retry(ReadSeeds())
            return
        addresses = [e.value.decode(errors="replace") for e in listing.value.entries]
        self.control.tell(SeedsFound(addresses))

    def _set_watch(self, active):
        self.is_active = active
        self.cursor = None
        self.backoff.reset()
        if active:
            self._schedule_poll()

    def _schedule_poll(self):
        if not self.is_polling:
            self.is_polling = True
            self.actor_ref.tell(Poll())

    def _poll(self):
        if not self.is_active:
            return
        is_first = self.cursor is None
        if is_first:
            listing = self.platform.read_all(PROFILE_PREFIX)
        else:
            listing = self.platform.watch(
                PROFILE_PREFIX, self.cursor, self.watch_wait_s
            )
        if isinstance(listing, Refused):
            self._on_poll_failed(listing)
            return
        self._count("platform_calls_total", "list" if is_first else "watch")
        self.backoff.reset()
        self.cursor = listing.value.cursor
        self.control.tell(PlatformState(True))
        self._deliver_versions(listing.value.entries, is_first)
        self._schedule_poll()

    def _deliver_versions(self, entries, is_first):
        versions = []
        for entry in entries:
            name = entry.key.removeprefix(PROFILE_PREFIX)
            decoded = self.stored_codec.decode(name, entry.value)
            if isinstance(decoded, Refused):
                self._count("versions_refused_total", decoded.kind)
                continue
            versions.append(decoded.value.version)
        if versions or is_first:
            self.control.tell(PlatformVersions(versions, is_first))

    def _on_poll_failed(self, refusal):
        self._count("platform_calls_total", "failed")
        self._count("retries_total", refusal.kind)
        # Changes may have been missed, so the next call reads all profiles.
        self.cursor = None
        self.control.tell(PlatformState(False))
        self.is_polling = True
        self._schedule_retry(Poll())

    def _schedule_retry(self, message):
        timer = Timer(self.backoff.next_delay(), self._tell_self, [message])
        timer.daemon = True
        timer.start()

    def _tell_self(self, message):
        """Send a message to this task, unless it has stopped in the meantime."""
        with suppress(ActorDeadError):
            self.actor_ref.tell(message)

    def _publish_seed(self, slot):
        key = f"{SEED_PREFIX}{self.domain}/{slot}"
        entry = self.platform.read(key)
        if isinstance(entry, Refused):
            return
        value = self.seed_address.encode()
        if entry.value.value != value:
            self.platform.write(key, value, entry.value.revision)
            self._count("platform_calls_total", "seed")

    def _count(self, name, label):
        self.meters.tell(RecordCounts([Count(name, label)]))
