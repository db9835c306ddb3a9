//! Test doubles for the platform, upstreams, the fabric and clients.
