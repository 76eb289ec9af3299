//! Measures the cost of control: bytes and processor time per host, upstream and change.

mod change_cost;
mod daemon_group;
mod gossip_cost;
mod linear_fit;
mod message_cost;
mod plan_cost;
mod process_cost;
mod spread_cost;

#[path = "../../../pulley_core/tests/members"]
#[allow(
    dead_code,
    unreachable_pub,
    reason = "shared with the tests of pulley_core, which use more of it"
)]
mod virtual_hosts {
    pub(super) mod bulk_change;
    pub(super) mod link_model;
    pub(super) mod network;
    mod route_rows;
}

use eyre::{Result, bail};

use virtual_hosts::{bulk_change, link_model, network};

const USAGE: &str = "usage: pulley_bench capacity gossip [--hosts N] [--upstreams N] [--seconds N]
         [--plan-rows N] [--seed N]
       pulley_bench capacity processes [--daemon FILE] [--hosts N,…] [--upstreams N,…]
         [--seconds N] [--changes N] [--sheet FILE]
       pulley_bench capacity messages
       pulley_bench capacity changes [--hosts N,…] [--upstreams N]
       pulley_bench capacity spread [--hosts N,…] [--link-bytes N,…] [--rows N,…]
         [--callers-percent N] [--seconds N] [--seed N]
       pulley_bench capacity plans [--rows N,…]

gossip: bytes and time of membership, upstream leases and configuration in virtual time,
        over the real state machines; --plan-rows publishes a plan of so many rows at the end
processes: processor time, memory and bytes of whole daemons with stand-in upstreams that only
        announce themselves, and slopes fitted to them
messages: processor time of a sealed datagram over a socket and of an announcement
changes: processor time that the change of one upstream, or the restart of one host, costs another
         host, by the number of hosts
plans:  processor time of a request, a view and a change at an entry, by the configuration's rows
spread: time until a change that adds so many rows, and one of a weight right after, are in force
        with half of the hosts and with all, what is sent for it and how long queues get at the
        entries' links of so many bytes a second, of which callers take a part; in virtual time";

/// Runs the measurement named by the first argument.
pub(crate) fn run(arguments: &[String]) -> Result<()> {
    let Some((scenario, rest)) = arguments.split_first() else { bail!("{USAGE}") };
    match scenario.as_str() {
        "gossip" => gossip_cost::run(rest),
        "messages" => message_cost::run(),
        "changes" => change_cost::run(rest),
        "plans" => plan_cost::run(rest),
        "processes" => process_cost::run(rest),
        "spread" => spread_cost::run(rest),
        "--help" | "-h" => {
            println!("{USAGE}");
            Ok(())
        }
        other => bail!("no scenario {other}\n{USAGE}"),
    }
}
