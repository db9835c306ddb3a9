//! Client of the platform's read and watch interface.
