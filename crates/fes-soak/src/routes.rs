//! Configuration of the routes.

use std::net::SocketAddrV4;

use fes_adapter::stand_in::encode_routes;
use fes_passthrough::FlowRequirements;
use fes_passthrough::FlowUse;
use fes_passthrough::Priority;
use fes_passthrough::Route;
use fes_passthrough::RouteSet;
use serde_json::Value;

use crate::network::SERVICE;
use crate::network::moving_destination;
use crate::network::non_repeatable_destination;
use crate::network::stream_destination;

const LATENCY_GOAL_MS: u32 = 200;
const TIMEOUT_MS: u32 = 2_000;
const IDLE_TIMEOUT_MS: u64 = 15_000;

/// Returns the destinations of all routes, each with its service.
pub fn routed_services(
    moving_service: &'static str,
) -> impl Iterator<Item = (SocketAddrV4, &'static str)> {
    let fixed = [stream_destination(), non_repeatable_destination()];
    let fixed = fixed.into_iter().map(|destination| (destination, SERVICE));
    fixed.chain([(moving_destination(), moving_service)])
}

/// Encodes the configuration in which the moving route leads to `moving_service`, and the others to
/// the first service.
pub fn encode_configuration(version: u64, moving_service: &'static str) -> String {
    let parts = routed_services(moving_service)
        .map(|(destination, service)| encode_route(version, destination, service));
    let merged = parts.reduce(merge).unwrap_or_default();
    merged.to_string()
}

fn encode_route(version: u64, destination: SocketAddrV4, service: &str) -> Value {
    let flow_use = match destination == non_repeatable_destination() {
        true => FlowUse::NonRepeatable,
        false => FlowUse::Stream,
    };
    let route = Route {
        destination,
        requirements: FlowRequirements {
            flow_use,
            latency_goal_ms: LATENCY_GOAL_MS,
            timeout_ms: TIMEOUT_MS,
            priority: Priority::default(),
        },
        services: Vec::new(),
    };
    let set = RouteSet {
        version,
        idle_timeout_ms: IDLE_TIMEOUT_MS,
        routes: [(destination, route)].into_iter().collect(),
        ..RouteSet::default()
    };
    serde_json::from_str(&encode_routes(&set, service)).unwrap_or_default()
}

/// Merges two configurations that each have one service: the lists are joined, without elements
/// that occur already.
fn merge(first: Value, second: Value) -> Value {
    match (first, second) {
        (Value::Object(mut first), Value::Object(second)) => {
            for (key, value) in second {
                let merged = match first.remove(&key) {
                    Some(former) => merge(former, value),
                    None => value,
                };
                first.insert(key, merged);
            }
            Value::Object(first)
        }
        (Value::Array(mut first), Value::Array(second)) => {
            for value in second {
                if !first.contains(&value) {
                    first.push(value);
                }
            }
            Value::Array(first)
        }
        (first, _) => first,
    }
}
