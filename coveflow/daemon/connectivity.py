"""What a node currently reaches: the store, the leader, the other nodes and those of its zone."""

from __future__ import annotations

from coveflow import constants as c
from coveflow.core import routing
from coveflow.core.contacts import NEVER
from coveflow.daemon.inbox import Inbox
from coveflow.membership.peers import Peers
from coveflow.settings import Settings
from coveflow.state.store import Store


class Connectivity:
    """Connectivity checks for decisions about reports; times are in s of the node's clock."""

    def __init__(self, settings: Settings, inbox: Inbox, peers: Peers, store: Store) -> None:
        self.name = settings.name
        self.inbox, self.peers, self.store = inbox, peers, store
        self.zones = {m.name: m.zone for m in settings.members} | {settings.name: settings.zone}
        # Other nodes of this one's zone.
        self.zone_peers = [
            m.name for m in settings.members if m.zone == settings.zone and m.name != settings.name
        ]
        self.home_candidates: dict[str, str] = {}  # nodes that accept reports, with their zones
        self.exposed: frozenset[str] = frozenset()  # candidates to avoid as homes now
        self.homes_updated_at = NEVER

    # --- the store and the leader --------------------------------------------------------

    @property
    def leader(self) -> str:
        """The leader according to the newest view."""
        return self.inbox.view.leader

    def store_fresh(self, now: float) -> bool:
        """Whether the store answered this node recently."""
        return self.store.contact_at > now - c.PEER_FRESH_S

    def leader_is_member(self) -> bool:
        """Whether the leader is one of the live members."""
        return self.leader in self.inbox.members

    def leader_answers(self) -> bool:
        """Whether the leader answered this node recently and said that it leads."""
        leader = self.inbox.view.leader
        peer = self.peers.get(leader)
        return peer is not None and self.peers.fresh(leader) and peer.leading

    def leader_lost(self, now: float) -> bool:
        """Whether the leader has been silent for longer than its lease would last after a crash."""
        since = self.peers.suspicion.silent_since(self.inbox.view.leader)
        return since is not None and now - since > c.LEADER_LOST_S

    # --- the other nodes -----------------------------------------------------------------

    def refused(self, now: float) -> bool:
        """Whether the leader and all other nodes refuse this one, while the store answers it.

        Never true if the view names this node: before taking over as leader it would redirect
        workers to itself, and they would count as bounced when they arrive.
        """
        if self.leader == self.name:
            return False
        return self.peers.all_refuse_connections() and self.store_fresh(now)

    def isolated_from_nodes(self, now: float) -> bool:
        """Whether this node's own links to the others are cut, rather than its zone's.

        It hears the store but no other node, not even one of its own zone. Without the store the
        whole zone may be cut off, and the only controller of a zone cannot tell: redirected workers
        would try the others in vain, 4 s each, until their leases expire.
        """
        return (
            bool(self.zone_peers) and self.store_fresh(now) and self.peers.suspicion.isolated(now)
        )

    def cut_off(self, now: float) -> bool:
        """Whether this node hears neither the store nor any other node, and none refuses it."""
        return self.store.contact_at <= now - c.PEER_FRESH_S and self.peers.all_silent()

    def lost_zone_nodes(self) -> list[str]:
        """Other nodes of this zone that became silent together with all others."""
        return self.peers.silent_with_all(self.zone_peers)

    # --- homes ---------------------------------------------------------------------------

    def home(self, machine: str, zone: str, now: float) -> str:
        """The node that should accept the machine's reports; "" if there is none.

        Called for every report, so the candidates are refreshed only a few times a second.
        """
        if now - self.homes_updated_at >= c.HOME_NODES_CACHE_S:
            self.home_candidates = {
                name: self.zones[name]
                for name in self.inbox.members
                if self._can_be_home(name, now)
            }
            self.exposed = self._exposed(now)
            self.homes_updated_at = now
        return routing.home(machine, zone, self.home_candidates, self.exposed)

    def _can_be_home(self, name: str, now: float) -> bool:
        """Whether the node may be a home: it is trusted, and the leader and it hear each other."""
        if name == self.name:
            return True
        if name not in self.zones or not self.peers.suspicion.trusted(name):
            return False
        peer = self.peers.get(name)
        if peer is not None and peer.refuses_connections:
            return False
        health = self.peers.suspicion.status_of(name, now)
        if health is None:
            return False
        return name == self.leader or health.heard.get(self.leader, 1e9) <= c.PEER_FRESH_S

    def _exposed(self, now: float) -> frozenset[str]:
        """Nodes whose workers would fail over to a silent node next; none if most are silent."""
        since = {name: self.peers.suspicion.silent_since(name) for name in self.zones}
        gone = [n for n, at in since.items() if at is not None and now - at > c.SILENT_NEIGHBOUR_S]
        most_gone = 2 * len(gone) > len(self.zones)
        return frozenset() if most_gone else routing.exposed(self.zones, gone)
