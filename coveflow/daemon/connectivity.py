"""What a node reaches just now: the store, the leader, the other nodes and those of its zone."""

from __future__ import annotations

from coveflow import constants as c
from coveflow.core import routing
from coveflow.core.contacts import NEVER
from coveflow.daemon.inbox import Inbox
from coveflow.membership.peers import Peers
from coveflow.settings import Settings
from coveflow.state.store import Store


class Connectivity:
    """Answers what decisions about reports ask; times are in s of the node's clock."""

    def __init__(self, settings: Settings, inbox: Inbox, peers: Peers, store: Store) -> None:
        self.name = settings.name
        self.inbox, self.peers, self.store = inbox, peers, store
        self.zones = {m.name: m.zone for m in settings.members} | {settings.name: settings.zone}
        # Other nodes of this one's zone.
        self.mates = [
            m.name for m in settings.members if m.zone == settings.zone and m.name != settings.name
        ]
        self.nodes: dict[str, str] = {}  # nodes that take reports, with their zones
        self.exposed: frozenset[str] = frozenset()  # those that are no good homes just now
        self.looked_at = NEVER

    # --- the store and the leader --------------------------------------------------------

    @property
    def leader(self) -> str:
        """The node that leads by the newest view."""
        return self.inbox.view.leader

    def store_fresh(self, now: float) -> bool:
        """Whether the store answered this node just now."""
        return self.store.contact_at > now - c.PEER_FRESH_S

    def leader_is_member(self) -> bool:
        """Whether the leader is one of the live members."""
        return self.leader in self.inbox.members

    def leader_answers(self) -> bool:
        """Whether the leader answered this node just now, as one that leads."""
        leader = self.inbox.view.leader
        peer = self.peers.get(leader)
        return peer is not None and self.peers.fresh(leader) and peer.leading

    def leader_lost(self, now: float) -> bool:
        """Whether the leader is silent for longer than its hold would live if it were gone."""
        since = self.peers.suspicion.silent_since(self.inbox.view.leader)
        return since is not None and now - since > c.CARRY_LOST_S

    # --- the other nodes -----------------------------------------------------------------

    def refused(self, now: float) -> bool:
        """Whether the leader and all other nodes refuse this one, while the store answers it.

        Never where this node is the one that the view names: before it took the lead it once sent
        workers to itself, and they counted as bounced when they came.
        """
        if self.leader == self.name:
            return False
        return self.peers.all_refuse_connections() and self.store_fresh(now)

    def isolated_from_nodes(self, now: float) -> bool:
        """Whether it is this node's own ways to the others that are cut, not its zone's.

        It hears no other node, one of its own zone included, but the store. Without the store it
        may be the whole zone, and a zone's only controller cannot tell: workers sent away from it
        tried the others in vain, 4 s each, until their leases were over.
        """
        return bool(self.mates) and self.store_fresh(now) and self.peers.suspicion.isolated(now)

    def cut_off(self, now: float) -> bool:
        """Whether this node hears neither the store nor any other node, none of which refuses."""
        return self.store.contact_at <= now - c.PEER_FRESH_S and self.peers.all_silent()

    def lost_zone_nodes(self) -> list[str]:
        """Other nodes of its zone that fell silent together with all others."""
        return self.peers.silent_with_all(self.mates)

    # --- homes ---------------------------------------------------------------------------

    def home(self, machine: str, zone: str, now: float) -> str:
        """The node that should take the machine's reports; "" if there is none.

        Asked for every report, so the nodes are looked at only a few times a second.
        """
        if now - self.looked_at >= c.HOMES_S:
            self.nodes = {
                name: self.zones[name] for name in self.inbox.members if self._takes(name, now)
            }
            self.exposed = self._exposed(now)
            self.looked_at = now
        return routing.home(machine, zone, self.nodes, self.exposed)

    def _takes(self, name: str, now: float) -> bool:
        """Whether the node takes reports: it is in order, and heard by and hearing the leader."""
        if name == self.name:
            return True
        if name not in self.zones or not self.peers.suspicion.trusted(name):
            return False
        peer = self.peers.get(name)
        if peer is not None and peer.refuses_connections:
            return False
        word = self.peers.suspicion.status_of(name, now)
        if word is None:
            return False
        return name == self.leader or word.heard.get(self.leader, 1e9) <= c.PEER_FRESH_S

    def _exposed(self, now: float) -> frozenset[str]:
        """Nodes whose workers would ask one next that is gone; none if this one hears nobody."""
        since = {name: self.peers.suspicion.silent_since(name) for name in self.zones}
        gone = [n for n, at in since.items() if at is not None and now - at > c.EXPOSED_S]
        most = 2 * len(gone) > len(self.zones)
        return frozenset() if most else routing.exposed(self.zones, gone)
