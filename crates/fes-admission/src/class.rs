//! Names of request classes.

use std::fmt;
use std::sync::Arc;

/// Name of a request class: method and first path segment.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassName(Arc<str>);

impl ClassName {
    /// Derives the class of a request from its method and path.
    #[must_use]
    pub fn of_request(method: &str, path: &str) -> Self {
        let segment = path
            .trim_start_matches('/')
            .split(['/', '?'])
            .next()
            .unwrap_or_default();
        Self(Arc::from(format!("{method} /{segment}")))
    }

    /// Returns the name as a string slice.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for ClassName {
    fn from(value: &str) -> Self {
        Self(Arc::from(value))
    }
}

impl fmt::Display for ClassName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
