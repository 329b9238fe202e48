"""Settings of an entry instance."""

from datetime import timedelta
from typing import Annotated

from pydantic import Field

from .document import CheckedModel

__all__ = ["InstanceSettings", "ListenAddress", "PlatformAddresses", "SeedInstance"]

Port = Annotated[int, Field(ge=0, le=65535)]
IP_NUMBER = r"^[0-9]{1,3}(\.[0-9]{1,3}){3}$"
IP_NUMBER_URL = r"^https?://[0-9]{1,3}(\.[0-9]{1,3}){3}(:[0-9]{1,5})?(/.*)?$"


class ListenAddress(CheckedModel):
    """An IP number and a port."""

    host: str = Field(pattern=IP_NUMBER)
    port: Port


class PlatformAddresses(CheckedModel):
    """Base URLs of the platform's services, with IP numbers for hosts."""

    table: str = Field(pattern=IP_NUMBER_URL)
    object_store: str = Field(pattern=IP_NUMBER_URL)
    instance_list: str = Field(pattern=IP_NUMBER_URL)


class SeedInstance(CheckedModel):
    """An entry instance that is known beforehand: its name and where it accepts its peers."""

    name: str = Field(min_length=1)
    host: str = Field(pattern=IP_NUMBER)
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
        Where callers, other entry instances and operators connect.
    platform : PlatformAddresses
    peer_key : str
        Secret that entry instances share, at least 16 characters.
    seeds : tuple of SeedInstance
        Instances to reach even while the platform's list can't be read.
    advertise_host : str
        IP number by which other instances reach this one.
    unready_before_close : timedelta
        Time between becoming not ready and closing the callers' port at a graceful shutdown,
        in which the balancer learns of it.
    stop_within : timedelta
        Longest time a graceful shutdown may take.
    trace_file : str or None
        File that spans are appended to, one JSON object a line.
    trace_share : float
        Share of requests without a sampled ``traceparent`` whose spans are recorded.
    """

    name: str = Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")
    data_centre: str = Field(min_length=1)
    callers: ListenAddress
    peers: ListenAddress
    admin: ListenAddress
    platform: PlatformAddresses
    peer_key: str = Field(min_length=16)
    seeds: tuple[SeedInstance, ...] = ()
    advertise_host: str = Field(default="127.0.0.1", pattern=IP_NUMBER)
    unready_before_close: timedelta = timedelta(seconds=2)
    stop_within: timedelta = timedelta(seconds=30)
    trace_file: str | None = None
    trace_share: float = Field(default=0.01, ge=0.0, le=1.0)
