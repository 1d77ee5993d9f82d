"""Task that owns the idempotency keys of this node."""

from absl.logging import get_absl_logger
from pykka import ThreadingActor

from cyclamentally.call_messages import ClaimReply, ClaimRequest, ClaimResult
from cyclamentally.claims import ClaimDecided
from cyclamentally.effects import PeerMessageRefused
from cyclamentally_node.task_messages import (
    ClaimKey,
    ForgetClaim,
    MembersReplaced,
    OwnDeathRefuted,
    PeerMessageReceived,
    ReportOutcome,
    Tick,
)

logger = get_absl_logger()

CLAIM_MESSAGES = (ClaimRequest, ClaimReply, ClaimResult)


class ClaimTask(ThreadingActor):
    """Pass events to the decisions on idempotency keys; carry out their effects.

    Parameters
    ----------
    claimant : Claimant
        Decisions on claims; owned by this task.
    clock_ms : callable
        Returns the time in ms since the epoch.
    outbox : Outbox
        Sends messages to peers and updates the metrics.
    """

    use_daemon_thread = True

    def __init__(self, claimant, clock_ms, outbox):
        super().__init__()
        self.claimant = claimant
        self.owner = claimant.owner
        self.clock_ms = clock_ms
        self.outbox = outbox
        self.futures = {}
        self.handlers = {
            ClaimKey: self._claim,
            ReportOutcome: self._report,
            ForgetClaim: self._forget,
            MembersReplaced: self._replace_members,
            OwnDeathRefuted: self._handle_refutation,
            PeerMessageReceived: self._receive,
            Tick: self._tick,
        }

    def on_receive(self, message):
        """Dispatch a message to its handler."""
        effects = self.handlers[type(message)](message, self.clock_ms())
        self._carry_out(effects or [])

    def _claim(self, message, now_ms):
        self.futures[message.ticket] = message.future
        return self.claimant.ask(
            message.key,
            message.fingerprint,
            message.ticket,
            message.allowed_ms,
            now_ms,
        )

    def _report(self, message, now_ms):
        self.futures.pop(message.ticket, None)
        return self.claimant.report(
            message.key, message.ticket, message.outcome, message.answer, now_ms
        )

    def _forget(self, message, now_ms):
        self.claimant.forget(message.ticket)

    def _replace_members(self, message, now_ms):
        self.owner.update(message.records, now_ms)

    def _handle_refutation(self, message, now_ms):
        self.owner.on_refuted(now_ms)

    def _receive(self, received, now_ms):
        message = received.message
        if isinstance(message, ClaimRequest):
            return self.owner.on_request(message, now_ms)
        if isinstance(message, ClaimReply):
            return self.claimant.on_reply(message)
        return self.owner.on_result(message, now_ms)

    def _tick(self, message, now_ms):
        return self.owner.tick(now_ms)

    def _carry_out(self, effects):
        for effect in self.outbox.deliver(effects):
            if isinstance(effect, ClaimDecided):
                future = self.futures.pop(effect.ticket, None)
                if future is not None:
                    future.set(effect.verdict)
            elif isinstance(effect, PeerMessageRefused):
                logger.warning("%s: message refused: %s", effect.sender, effect.detail)
