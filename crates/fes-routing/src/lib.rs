//! Placement tables, routing decisions, return path and request offload.
