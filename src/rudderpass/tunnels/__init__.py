"""Connections to upstreams, through another host where the direct path is broken."""

from rudderpass.tunnels._dialer import (
    AllowsZone as AllowsZone,
    Dialed as Dialed,
    Dialer as Dialer,
    DirectDialer as DirectDialer,
    PeerDialer as PeerDialer,
)
from rudderpass.tunnels._paths import (
    DirectFailure as DirectFailure,
    PathTable as PathTable,
    RelayHost as RelayHost,
)
from rudderpass.tunnels._prober import PathProber as PathProber
from rudderpass.tunnels._server import (
    MAX_TUNNELS as MAX_TUNNELS,
    TunnelServer as TunnelServer,
)
from rudderpass.tunnels._socket import (
    TunnelRefused as TunnelRefused,
    TunnelSocket as TunnelSocket,
    open_tunnel as open_tunnel,
)
from rudderpass.tunnels._wire import (
    OpenRequest as OpenRequest,
    TunnelStatus as TunnelStatus,
    decode_open as decode_open,
    encode_open as encode_open,
)
