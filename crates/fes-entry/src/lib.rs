//! The entry daemon as a library.
