"""Name the parts of the HTTP library's server that the gateway uses.

``aiohttp.web`` would also load applications, routes and files.
"""

from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse
from aiohttp.web_server import Server

__all__ = ["BaseRequest", "Response", "Server", "StreamResponse"]
