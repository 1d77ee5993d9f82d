"""The task that owns the connection to the platform."""

from contextlib import suppress
from random import Random
from threading import Timer

from absl.logging import get_absl_logger
from pykka import ActorDeadError, ThreadingActor

from cyclamentally.effects import Count
from cyclamentally.errors import Refused
from cyclamentally.limits import Backoff
from cyclamentally.platform import PROFILE_PREFIX, SEED_PREFIX
from cyclamentally_node.events import (
    Attach,
    Counted,
    PlatformState,
    PlatformVersions,
    Poll,
    PublishSeed,
    ReadSeeds,
    SeedsFound,
    SetWatch,
)

logger = get_absl_logger()

RETRY_FIRST_S = 0.5
RETRY_LONGEST_S = 10.0


class PlatformTask(ThreadingActor):
    """Watch profiles and read seeds; results go to the control task.

    Parameters
    ----------
    platform : Platform
        Client, owned by this task.
    stored_codec : StoredProfileCodec
        Encoding of stored profiles.
    wait : float
        Longest wait of a watch in seconds.
    seed_address, domain : str
        Peer address and failure domain of this node.
    meters : pykka.ActorRef
        Receiver of the counts.
    """

    use_daemon_thread = True

    def __init__(self, platform, stored_codec, wait, seed_address, domain, meters):
        super().__init__()
        self.platform = platform
        self.stored_codec = stored_codec
        self.wait = wait
        self.seed_address = seed_address
        self.domain = domain
        self.meters = meters
        self.control = None
        self.is_active = False
        self.is_polling = False
        self.cursor = None
        self.backoff = Backoff(RETRY_FIRST_S, RETRY_LONGEST_S, Random())

    def on_receive(self, message):
        """Handle `SetWatch`, `Poll` and `PublishSeed`."""
        if isinstance(message, Attach):
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
            self._tell_later(ReadSeeds())
            return
        addresses = [e.value.decode(errors="replace") for e in listing.value.entries]
        self.control.tell(SeedsFound(addresses))

    def _set_watch(self, active):
        self.is_active = active
        self.cursor = None
        self.backoff.reset()
        if active:
            self._poll_next()

    def _poll_next(self):
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
            listing = self.platform.watch(PROFILE_PREFIX, self.cursor, self.wait)
        if isinstance(listing, Refused):
            self._fail(listing)
            return
        self._count("platform_calls_total", "list" if is_first else "watch")
        self.backoff.reset()
        self.cursor = listing.value.cursor
        self.control.tell(PlatformState(True))
        self._deliver(listing.value.entries, is_first)
        self._poll_next()

    def _deliver(self, entries, is_first):
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

    def _fail(self, refusal):
        self._count("platform_calls_total", "failed")
        self._count("retries_total", refusal.kind)
        # Events may have been missed, so the next call reads everything.
        self.cursor = None
        self.control.tell(PlatformState(False))
        self.is_polling = True
        self._tell_later(Poll())

    def _tell_later(self, message):
        timer = Timer(self.backoff.next_delay(), self._tell_self, [message])
        timer.daemon = True
        timer.start()

    def _tell_self(self, message):
        """Send a message to this task unless it has been stopped meanwhile."""
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
        self.meters.tell(Counted([Count(name, label)]))
