"""A deployment whose hosts can be partitioned from upstreams."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from enum import Enum
from typing import ClassVar

from tests.soak.cuttable_host import CUTS_FILE, RESETS_FILE
from tests.soak.deployment import SoakDeployment
from tests.soak.host_process import HostProcess


class Partition(Enum):
    """What happens to a partitioned host's connections to upstreams."""

    HANG = "open and new connections hang"
    RESET = "open and new connections are reset"
    NEW_ONLY = "open connections live on, new ones are reset"


@dataclass
class PartitionableHost(HostProcess):
    """A host from which upstreams can be cut off."""

    module: ClassVar[str] = "tests.soak.cuttable_host"

    def write_cuts(self, file_name: str, addresses: Iterable[str]) -> None:
        """Replace the addresses that one of the files of cuts lists."""
        new_file = self.folder / f"{file_name}.new"
        new_file.write_text("\n".join(sorted(addresses)))
        new_file.rename(self.folder / file_name)


class PartitionDeployment(SoakDeployment):
    """Partitions hosts from upstreams, which the other hosts still reach."""

    host_type = PartitionableHost

    def partition(
        self, host: HostProcess, kind: Partition, names: Collection[str] | None = None
    ) -> None:
        """Cut a host off from upstreams; all that are running by default."""
        assert isinstance(host, PartitionableHost)
        cut = list(self.links) if names is None else names
        addresses = [self.links[name].address for name in cut]
        is_hanging = kind is Partition.HANG
        host.write_cuts(CUTS_FILE, addresses if is_hanging else ())
        host.write_cuts(RESETS_FILE, () if is_hanging else addresses)
        for name in cut:
            link = self.links[name]
            if kind is Partition.HANG:
                link.cut_clients |= {host.ip}
            if kind is Partition.RESET:
                link.reset_client(host.ip)

    def clear_faults(self) -> None:
        """Also end all partitions, and let no upstream be brittle."""
        super().clear_faults()
        for host in self.hosts:
            self.heal(host)
        for upstream in self.upstreams.values():
            upstream.brittle = None

    def heal(self, host: HostProcess) -> None:
        """End a host's partition."""
        assert isinstance(host, PartitionableHost)
        host.write_cuts(CUTS_FILE, ())
        host.write_cuts(RESETS_FILE, ())
        for link in self.links.values():
            link.cut_clients -= {host.ip}
