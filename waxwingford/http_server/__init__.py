"""HTTP/1.1 server for small requests, parsed by ``httptools``."""

from waxwingford.http_server._answers import Handler
from waxwingford.http_server._messages import Request, Response
from waxwingford.http_server._reader import ServerLimits
from waxwingford.http_server._server import HttpServer

__all__ = ('Handler', 'HttpServer', 'Request', 'Response', 'ServerLimits')
