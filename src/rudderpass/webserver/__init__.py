"""The HTTP server that runs every WSGI application of the project."""

from rudderpass.webserver._server import (
    CONNECTION_KEY as CONNECTION_KEY,
    DISCONNECTED_KEY as DISCONNECTED_KEY,
    PENDING_KEY as PENDING_KEY,
    CallerConnection as CallerConnection,
    ErrorReply as ErrorReply,
    HttpServer as HttpServer,
    ServerLimits as ServerLimits,
    convert_disconnect as convert_disconnect,
    never_disconnected as never_disconnected,
    plain_error as plain_error,
)
