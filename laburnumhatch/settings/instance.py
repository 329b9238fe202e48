"""Settings of an entry instance."""

from datetime import timedelta
from typing import Annotated

from pydantic import Field

from .document import CheckedModel

__all__ = ["InstanceSettings", "ListenAddress", "PlatformAddresses", "SeedInstance"]

Port = Annotated[int, Field(ge=0, le=65535)]
IPV4_PATTERN = r"^[0-9]{1,3}(\.[0-9]{1,3}){3}$"
IPV4_URL_PATTERN = r"^https?://[0-9]{1,3}(\.[0-9]{1,3}){3}(:[0-9]{1,5})?(/.*)?$"


class ListenAddress(CheckedModel):
    """An IPv4 address and a port to listen on."""

    host: str = Field(pattern=IPV4_PATTERN)
    port: Port


class PlatformAddresses(CheckedModel):
    """Base URLs of the platform's services. The hosts must be IPv4 addresses."""

    table: str = Field(pattern=IPV4_URL_PATTERN)
    object_store: str = Field(pattern=IPV4_URL_PATTERN)
    instance_list: str = Field(pattern=IPV4_URL_PATTERN)


class SeedInstance(CheckedModel):
    """Name, data centre and peer address of an entry instance that is known in advance."""

    name: str = Field(min_length=1)
    host: str = Field(pattern=IPV4_PATTERN)
    port: Port
    data_centre: str = Field(min_length=1)


class InstanceSettings(CheckedModel):
    """Settings of the entry daemon.

    Attributes
    ----------
    name : str
        Unique name of the instance.
    data_centre : str
    callers, peers, admin : ListenAddress
        Addresses on which callers, other entry instances and operators connect.
    platform : PlatformAddresses
    peer_key : str
        Secret shared by all entry instances; at least 16 characters.
    seeds : tuple of SeedInstance
        Instances to connect to even while the platform's instance list can't be read.
    advertise_host : str
        IPv4 address at which other instances connect to this one.
    unready_before_close : timedelta
        Delay of a graceful shutdown between reporting not ready and closing the callers' port.
        It gives the load balancer time to stop sending requests.
    stop_within : timedelta
        Maximum duration of a graceful shutdown.
    trace_file : str or None
        File to which spans are appended, one JSON object per line.
    trace_share : float
        Fraction of the requests without a sampled ``traceparent`` whose spans are recorded.
    """

    name: str = Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")
    data_centre: str = Field(min_length=1)
    callers: ListenAddress
    peers: ListenAddress
    admin: ListenAddress
    platform: PlatformAddresses
    peer_key: str = Field(min_length=16)
    seeds: tuple[SeedInstance, ...] = ()
    advertise_host: str = Field(default="127.0.0.1", pattern=IPV4_PATTERN)
    unready_before_close: timedelta = timedelta(seconds=2)
    stop_within: timedelta = timedelta(seconds=30)
    trace_file: str | None = None
    trace_share: float = Field(default=0.01, ge=0.0, le=1.0)
