//! Ticket validation, store, gossip, platform readers and diff.
