"""The cloud's model: types, capacity, rentals by name, boots, a list that lags, spot prices."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

import numpy as np

from coveflow import constants as c
from coveflow.core.model import Flavor, ListedMachine

INF = math.inf
Key = tuple[str, str, bool]  # type, zone, spot
LEAST_PAID_S = 60.0  # s that a returned machine costs at the least
DEAD_LISTED_S = 30.0  # s for which a dead machine is listed as running


@dataclass
class Host:
    name: str
    address: str
    flavor: Flavor
    zone: str
    spot: bool
    rented: float
    up: float  # when its worker begins; INF: never
    failed: float = INF
    gone: float = INF
    slow: float = 1.0
    fetch_part: float = 1.0


@dataclass
class Known:
    """What is known of the next machine of a kind; None is drawn."""

    name: str | None = None
    boot_s: float | None = None
    slow: float | None = None
    fetch_part: float | None = None


@dataclass
class Boots:
    """How machines come up; parts are shares of all, times are of the type's nominal boot."""

    least: float = 0.6
    most: float = 1.5
    quick: float = 0.02  # up within a second or two
    late: float = 0.02  # several times as long
    never: float = 0.01


class Cloud:
    """`capacity` counts machines by (type, zone, spot); what is not named has none.

    `spread` is how far machines of one type differ in speed. Money is what was paid, by the
    second, at the prices of the moment.
    """

    def __init__(
        self,
        flavors: list[Flavor],
        capacity: dict[Key, int],
        lag_s: float,
        seed: int,
        boots: Boots | None = None,
        spread: float = 0.05,
        recorded: Callable[[Key], Known | None] = lambda key: None,
        names: str = "n",
    ) -> None:
        self.flavors = {f.name: f for f in flavors}
        self.capacity, self.lag_s = dict(capacity), lag_s
        self.rng = np.random.default_rng([seed, 77])
        self.boots, self.spread, self.recorded = boots or Boots(), spread, recorded
        self.hosts: dict[str, Host] = {}
        self.rentals: dict[str, list[str]] = {}
        self.used: dict[Key, int] = {}
        self.awaited: dict[Key, int] = {}  # machines that are there and begin later
        self.next = 1
        self.prefix = names
        self.price_part = 1.0  # of the nominal spot price just now
        self.paid = 0.0
        self.refusals = 0
        self.on_rent: Callable[[Host], None] = lambda host: None
        self.on_gone: Callable[[Host, float], None] = lambda host, now: None

    def drift(self) -> None:
        """Spot prices move by up to a third around the nominal price."""
        step = self.rng.normal(0.0, 0.05)
        self.price_part = float(np.clip(self.price_part + step, 2 / 3, 4 / 3))

    def priced(self) -> list[Flavor]:
        return [
            Flavor(
                f.name,
                f.cpus,
                f.accelerators,
                f.ram_gb,
                f.cache_gb,
                f.fetch_gb_per_s,
                f.price,
                f.spot_price * self.price_part,
                f.boot_s,
                f.zones,
            )
            for f in self.flavors.values()
        ]

    def rent(
        self, rental: str, flavor: str, zone: str, spot: bool, number: int, now: float
    ) -> list[str]:
        """Names of what was rented, the same for the same request; empty: no capacity."""
        if rental in self.rentals:
            return self.rentals[rental]
        key = (flavor, zone, spot)
        room = self.capacity.get(key, 0) - self.used.get(key, 0)
        count = min(number, c.MAX_RENT, room)
        if flavor not in self.flavors or count <= 0:
            self.refusals += 1
            return []
        names = [self._new(key, now).name for _ in range(count)]
        self.rentals[rental] = names
        return names

    def _new(
        self,
        key: Key,
        now: float,
        up: float | None = None,
        known: Known | None = None,
        kept: bool = False,
    ) -> Host:
        flavor = self.flavors[key[0]]
        known = known or self.recorded(key) or Known()
        name = known.name
        if name is None:
            name = f"{self.prefix}-{self.next:06d}"
            self.next += 1
        host = Host(name, "", flavor, key[1], key[2], now, now if up is None else up)
        host.slow = known.slow or float(1.0 + self.rng.uniform(-self.spread, self.spread))
        host.fetch_part = known.fetch_part or (
            float(self.rng.uniform(2 / 3, 4 / 3)) if self.spread else 1.0
        )
        if up is None:
            host.up = now + (self._boot(flavor.boot_s) if known.boot_s is None else known.boot_s)
        self.hosts[name] = host
        if kept:
            self.awaited[key] -= 1
        else:
            self.used[key] = self.used.get(key, 0) + 1
        self.on_rent(host)
        return host

    def _boot(self, nominal: float) -> float:
        kind, b = self.rng.random(), self.boots
        length = nominal * float(self.rng.uniform(b.least, b.most))
        if kind < b.never:
            return INF
        if kind < b.never + b.late:
            return length * float(self.rng.uniform(2.5, 5.0))
        if kind < b.never + b.late + b.quick:
            return float(self.rng.uniform(0.5, 2.0))
        return length

    def begin(self, flavor: str, zone: str, spot: bool, count: int, now: float) -> None:
        """Machines that are up from the start."""
        for _ in range(count):
            self._new((flavor, zone, spot), now, up=now)

    def keep(self, key: Key) -> None:
        """Room for a machine that is there already and will be told of by `there`."""
        self.used[key] = self.used.get(key, 0) + 1
        self.awaited[key] = self.awaited.get(key, 0) + 1

    def there(self, key: Key, known: Known, now: float) -> None:
        """One known machine that is up from now on; it takes a kept place if there is one."""
        self._new(key, now, up=now, known=known, kept=self.awaited.get(key, 0) > 0)

    def give_back(self, names: list[str], now: float) -> None:
        """The machines and everything on them are gone when this returns."""
        for name in names:
            host = self.hosts.get(name)
            if host is not None and host.gone == INF:
                self._end(host, now, max(min(host.failed, now) - host.rented, LEAST_PAID_S))

    def fail(self, name: str, now: float) -> None:
        """The machine stops by itself; it is not charged any more, and listed until returned."""
        host = self.hosts[name]
        if host.gone == INF and host.failed == INF:
            host.failed = now
            self.on_gone(host, now)

    def take(self, name: str, now: float) -> None:
        """The cloud takes a spot machine back."""
        host = self.hosts[name]
        if host.gone == INF:
            self._end(host, now, min(host.failed, now) - host.rented)

    def _end(self, host: Host, now: float, paid_s: float) -> None:
        part = self.price_part if host.spot else 1.0
        self.paid += host.flavor.rate(host.spot) * part * paid_s / 3600
        host.gone = now
        key = (host.flavor.name, host.zone, host.spot)
        self.used[key] -= 1
        self.on_gone(host, now)

    def spent(self, now: float) -> float:
        """Money until now, in the unit of the hourly prices."""
        there = sum(
            h.flavor.rate(h.spot) * (self.price_part if h.spot else 1.0)
            * (min(h.failed, now) - h.rented) / 3600
            for h in self.hosts.values() if h.gone == INF
        )  # fmt: skip
        return self.paid + there

    def list(self, after: str, most: int, now: float) -> tuple[list[ListedMachine], bool]:
        """The machines as they were some lag ago, in the order of their names."""
        then = now - float(self.rng.uniform(self.lag_s, 2 * self.lag_s))
        rows = []
        for name, host in self.hosts.items():
            if name <= after or host.rented > then or host.gone <= then:
                continue
            state = "starting" if then < host.up else "running"
            if host.failed + DEAD_LISTED_S <= then:
                state = "failed"
            rows.append(
                ListedMachine(name, host.address, host.flavor.name, host.zone, host.spot, state,
                       then - host.rented)
            )  # fmt: skip
        return rows[:most], len(rows) > most
