"""All messages between nodes; the position in the tuple is the code on the wire."""

from cyclamentally.call_messages import (
    ClaimReply,
    ClaimRequest,
    ClaimResult,
    CrashMarks,
)
from cyclamentally.messages import (
    Ack,
    Beat,
    BeatAck,
    BucketHashes,
    Busy,
    ChangePush,
    IndirectAck,
    JoinRequest,
    MemberDigest,
    MemberUpdates,
    Ping,
    PingRequest,
    Report,
    StatusReply,
    StatusRequest,
    VersionDigest,
)

MESSAGE_TYPES = (
    Ping,
    Ack,
    PingRequest,
    IndirectAck,
    Beat,
    BeatAck,
    JoinRequest,
    MemberDigest,
    BucketHashes,
    MemberUpdates,
    ChangePush,
    VersionDigest,
    Busy,
    Report,
    StatusRequest,
    StatusReply,
    ClaimRequest,
    ClaimReply,
    ClaimResult,
    CrashMarks,
)
