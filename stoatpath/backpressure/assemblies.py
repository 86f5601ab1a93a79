"""Assembles the send gate of a gateway."""

from stoatpath.backpressure.cold_starts import ColdStartTable
from stoatpath.backpressure.exchanges import PermitExchange
from stoatpath.backpressure.gates import SendGate
from stoatpath.backpressure.hold_offs import HoldOffs
from stoatpath.backpressure.limits import LimitTable
from stoatpath.backpressure.shares import SlotShares


def build_send_gate(gateway):
    """Return the `SendGate` of a gateway, which follows its tables."""
    boot = gateway.boot
    clock = gateway.clock
    limits = LimitTable()
    cold = ColdStartTable(boot.cold_factor, boot.cold_slack)
    permits = PermitExchange(
        limits,
        gateway.members,
        gateway.peer_client,
        gateway.peer_server,
        clock,
        cold,
        has_seeds=any(seed != boot.peer_address for seed in boot.peer_seeds),
    )
    shares = SlotShares(gateway.members, gateway.random)
    gate = SendGate(limits, permits, HoldOffs(gateway.random), shares, clock, cold)
    gate.on_leaving = gateway.backends.record_leaving
    gate.on_hold_off = gateway.chooser.breakers.hold_open
    gate.on_restart = gateway.chooser.reset
    gateway.backends.entry_observers.append(gate.observe_entry)
    gateway.eligible.evacuations.return_observers.append(cold.observe_zone_return)
    gateway.routes.observers.append(
        lambda table: cold.set_services(table.services_by_name, clock.now_ms())
    )
    return gate
