//! Encapsulated datagrams and authenticated h2 links between own processes.
