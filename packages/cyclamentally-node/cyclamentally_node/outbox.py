"""Execution of the effects that several tasks have in common."""

from cyclamentally.effects import Count, Send
from cyclamentally_node.task_messages import RecordCounts, SendToPeers


class Outbox:
    """Passes messages to the sender and counts to the metrics.

    Parameters
    ----------
    sender, meters : pykka.ActorRef
        Task that sends to peers, and task that keeps the metrics.
    """

    __slots__ = ("meters", "sender")

    def __init__(self, sender, meters):
        self.sender = sender
        self.meters = meters

    def deliver(self, effects):
        """Carry out the effects of kind `Send` and `Count`.

        Parameters
        ----------
        effects : list
            Effects of any kind.

        Returns
        -------
        list
            The other effects.
        """
        sends = [effect for effect in effects if isinstance(effect, Send)]
        counts = [effect for effect in effects if isinstance(effect, Count)]
        if sends:
            self.sender.tell(SendToPeers(sends))
        if counts:
            self.meters.tell(RecordCounts(counts))
        return [e for e in effects if not isinstance(e, Send | Count)]
