"""HTTP adapters of the platform ports, chosen by URL scheme."""

from waxwingford.adapters._http_directory import HttpDirectory
from waxwingford.adapters._http_log import HttpLog
from waxwingford.adapters._http_platform import HttpPlatform
from waxwingford.adapters._http_servers import DiscardedResponses, HttpServers
from waxwingford.adapters._registry import (
    PlatformAdapter,
    PlatformPorts,
    open_platform,
    platform_adapters,
)
from waxwingford.adapters._wire import (
    DEADLINE_HEADER,
    NOT_RUN_HEADER,
    REQUEST_ID_HEADER,
    RETRY_AFTER_MS_HEADER,
    AppendReply,
    decode_control_reply,
    decode_control_request,
    decode_vm,
    encode_control_reply,
    encode_control_request,
    encode_json,
    encode_log_read,
)

__all__ = (
    'DEADLINE_HEADER',
    'NOT_RUN_HEADER',
    'REQUEST_ID_HEADER',
    'RETRY_AFTER_MS_HEADER',
    'DiscardedResponses',
    'AppendReply',
    'HttpDirectory',
    'HttpLog',
    'HttpPlatform',
    'HttpServers',
    'PlatformAdapter',
    'PlatformPorts',
    'decode_control_reply',
    'decode_control_request',
    'decode_vm',
    'encode_control_reply',
    'encode_control_request',
    'encode_json',
    'encode_log_read',
    'open_platform',
    'platform_adapters',
)
