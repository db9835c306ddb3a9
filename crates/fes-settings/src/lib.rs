//! TOML settings, validated as a whole.
