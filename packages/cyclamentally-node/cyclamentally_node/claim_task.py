"""The task that owns the idempotency keys of this node."""

from pykka import ThreadingActor

from cyclamentally.call_messages import ClaimReply, ClaimRequest, ClaimResult
from cyclamentally.claims import Judged
from cyclamentally.effects import Count, Send
from cyclamentally_node.events import (
    AskClaim,
    Counted,
    ForgetClaim,
    MembersReplaced,
    OwnDeathRefuted,
    PeerReceived,
    PeerSend,
    ReportClaim,
    Tick,
)

CLAIM_MESSAGES = (ClaimRequest, ClaimReply, ClaimResult)


class ClaimTask(ThreadingActor):
    """Feed the decisions on idempotency keys and carry out their effects.

    Parameters
    ----------
    claimant : Claimant
        Decisions, owned by this task.
    clock_ms : callable
        Returns the time in ms since the epoch.
    sender, meters : pykka.ActorRef
        Tasks that carry out effects.
    """

    use_daemon_thread = True

    def __init__(self, claimant, clock_ms, sender, meters):
        super().__init__()
        self.claimant = claimant
        self.owner = claimant.owner
        self.clock_ms = clock_ms
        self.sender = sender
        self.meters = meters
        self.futures = {}
        self.handlers = {
            AskClaim: self._ask,
            ReportClaim: self._report,
            ForgetClaim: self._forget,
            MembersReplaced: self._replace,
            OwnDeathRefuted: self._refuted,
            PeerReceived: self._receive,
            Tick: self._tick,
        }

    def on_receive(self, message):
        """Handle the messages named in the table of handlers."""
        effects = self.handlers[type(message)](message, self.clock_ms())
        self._carry_out(effects or [])

    def _ask(self, message, now_ms):
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

    def _replace(self, message, now_ms):
        self.owner.update(message.records, now_ms)

    def _refuted(self, message, now_ms):
        self.owner.refuted(now_ms)

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
        sends = [effect for effect in effects if isinstance(effect, Send)]
        counts = [effect for effect in effects if isinstance(effect, Count)]
        if sends:
            self.sender.tell(PeerSend(sends))
        if counts:
            self.meters.tell(Counted(counts))
        for effect in effects:
            if isinstance(effect, Judged):
                future = self.futures.pop(effect.ticket, None)
                if future is not None:
                    future.set(effect.verdict)
