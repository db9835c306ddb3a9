//! Commands of the fescueshift command line.
