"""Model of the cloud: machine types, capacity, idempotent rentals, boot times and spot prices.

Its listing lags behind the true state.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

import numpy as np

from coveflow import constants as c
from coveflow.core.model import Flavor, ListedMachine

INF = math.inf
Key = tuple[str, str, bool]  # type, zone, spot
MIN_CHARGED_S = 60.0  # minimum time charged for a returned machine
FAILED_LISTED_S = 30.0  # how long a failed machine is still listed as running


@dataclass
class Host:
    name: str
    address: str
    flavor: Flavor
    zone: str
    spot: bool
    rented: float
    up: float  # when its worker starts; INF: never
    failed: float = INF
    gone: float = INF
    slow: float = 1.0
    fetch_part: float = 1.0


@dataclass
class FixedProperties:
    """Fixed properties of the next machine of a kind; those that are None are drawn at random."""

    name: str | None = None
    boot_s: float | None = None
    slow: float | None = None
    fetch_part: float | None = None


@dataclass
class BootTimes:
    """Distribution of boot times: bounds relative to the type's nominal time, and shares."""

    least: float = 0.6
    most: float = 1.5
    quick: float = 0.02  # share that boots within 0.5 to 2 s
    late: float = 0.02  # share that takes 2.5 to 5 times as long
    never: float = 0.01  # share that never boots


class Cloud:
    """`capacity` is the number of machines by (type, zone, spot); a missing key means none.

    `spread` is the relative range of speeds among machines of one type. Machines are charged by
    the second, at the price at the time of payment.
    """

    def __init__(
        self,
        flavors: list[Flavor],
        capacity: dict[Key, int],
        lag_s: float,
        seed: int,
        boots: BootTimes | None = None,
        spread: float = 0.05,
        recorded: Callable[[Key], FixedProperties | None] = lambda key: None,
        names: str = "n",
    ) -> None:
        self.flavors = {f.name: f for f in flavors}
        self.capacity, self.lag_s = dict(capacity), lag_s
        self.rng = np.random.default_rng([seed, 77])
        self.boots, self.spread, self.recorded = boots or BootTimes(), spread, recorded
        self.hosts: dict[str, Host] = {}
        self.rentals: dict[str, list[str]] = {}
        self.used: dict[Key, int] = {}
        self.reserved: dict[Key, int] = {}  # places reserved for machines that are added later
        self.next = 1
        self.prefix = names
        self.spot_price_factor = 1.0  # current spot price divided by the nominal one
        self.paid = 0.0
        self.refusals = 0
        self.on_rent: Callable[[Host], None] = lambda host: None
        self.on_gone: Callable[[Host, float], None] = lambda host, now: None

    def drift(self) -> None:
        """Move the spot prices a random step, within a third of the nominal price."""
        step = self.rng.normal(0.0, 0.05)
        self.spot_price_factor = float(np.clip(self.spot_price_factor + step, 2 / 3, 4 / 3))

    def current_flavors(self) -> list[Flavor]:
        return [
            Flavor(
                f.name,
                f.cpus,
                f.accelerators,
                f.ram_gb,
                f.cache_gb,
                f.fetch_gb_per_s,
                f.price,
                f.spot_price * self.spot_price_factor,
                f.boot_s,
                f.zones,
            )
            for f in self.flavors.values()
        ]

    def rent(
        self, rental: str, flavor: str, zone: str, spot: bool, number: int, now: float
    ) -> list[str]:
        """Names of the rented machines, the same for a repeated request; empty: no capacity."""
        if rental in self.rentals:
            return self.rentals[rental]
        key = (flavor, zone, spot)
        room = self.capacity.get(key, 0) - self.used.get(key, 0)
        count = min(number, c.MAX_RENT, room)
        if flavor not in self.flavors or count <= 0:
            self.refusals += 1
            return []
        names = [self._add_host(key, now).name for _ in range(count)]
        self.rentals[rental] = names
        return names

    def _add_host(
        self,
        key: Key,
        now: float,
        up: float | None = None,
        known: FixedProperties | None = None,
        reserved: bool = False,
    ) -> Host:
        flavor = self.flavors[key[0]]
        known = known or self.recorded(key) or FixedProperties()
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
        if reserved:
            self.reserved[key] -= 1
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

    def start_machines(self, flavor: str, zone: str, spot: bool, count: int, now: float) -> None:
        """Add machines that are up immediately."""
        for _ in range(count):
            self._add_host((flavor, zone, spot), now, up=now)

    def reserve_place(self, key: Key) -> None:
        """Reserve capacity for an existing machine that `add_machine` adds later."""
        self.used[key] = self.used.get(key, 0) + 1
        self.reserved[key] = self.reserved.get(key, 0) + 1

    def add_machine(self, key: Key, known: FixedProperties, now: float) -> None:
        """Add a machine that is up from now on; it uses a reserved place if there is one."""
        self._add_host(key, now, up=now, known=known, reserved=self.reserved.get(key, 0) > 0)

    def return_machines(self, names: list[str], now: float) -> None:
        """Return machines to the cloud; they and their tasks are gone when this returns."""
        for name in names:
            host = self.hosts.get(name)
            if host is not None and host.gone == INF:
                self._end(host, now, max(min(host.failed, now) - host.rented, MIN_CHARGED_S))

    def fail(self, name: str, now: float) -> None:
        """The machine fails; it is no longer charged, but stays listed until it is returned."""
        host = self.hosts[name]
        if host.gone == INF and host.failed == INF:
            host.failed = now
            self.on_gone(host, now)

    def reclaim(self, name: str, now: float) -> None:
        """The cloud reclaims a spot machine."""
        host = self.hosts[name]
        if host.gone == INF:
            self._end(host, now, min(host.failed, now) - host.rented)

    def _end(self, host: Host, now: float, paid_s: float) -> None:
        part = self.spot_price_factor if host.spot else 1.0
        self.paid += host.flavor.rate(host.spot) * part * paid_s / 3600
        host.gone = now
        key = (host.flavor.name, host.zone, host.spot)
        self.used[key] -= 1
        self.on_gone(host, now)

    def spent(self, now: float) -> float:
        """Total cost so far, in the unit of the hourly prices."""
        running_cost = sum(
            h.flavor.rate(h.spot) * (self.spot_price_factor if h.spot else 1.0)
            * (min(h.failed, now) - h.rented) / 3600
            for h in self.hosts.values() if h.gone == INF
        )  # fmt: skip
        return self.paid + running_cost

    def list(self, after: str, most: int, now: float) -> tuple[list[ListedMachine], bool]:
        """A page of the machines as of one to two lags ago, in the order of their names."""
        as_of = now - float(self.rng.uniform(self.lag_s, 2 * self.lag_s))
        rows = []
        for name, host in self.hosts.items():
            if name <= after or host.rented > as_of or host.gone <= as_of:
                continue
            state = "starting" if as_of < host.up else "running"
            if host.failed + FAILED_LISTED_S <= as_of:
                state = "failed"
            rows.append(
                ListedMachine(name, host.address, host.flavor.name, host.zone, host.spot, state,
                       as_of - host.rented)
            )  # fmt: skip
        return rows[:most], len(rows) > most
