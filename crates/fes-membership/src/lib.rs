//! Heartbeats, liveness, incarnations, clock jumps and process life cycle.
