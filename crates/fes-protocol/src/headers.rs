//! Names of the HTTP headers that the system reads or writes, and the path of key prefixes.

/// Request: idempotency key of a non-repeatable request, `PREFIX.CLIENTPART`.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Response: prefix for the client's next idempotency keys.
pub const KEY_PREFIX: &str = "fescueshift-key-prefix";
/// Response: result code of a refusal or failure, such as `F2001`.
pub const RESULT_CODE: &str = "fescueshift-result-code";
/// Request, also towards the upstream: time left until the deadline, in milliseconds.
pub const DEADLINE_MS: &str = "fescueshift-deadline-ms";
/// Platform request: name of the reader, for the platform's accounting.
pub const READER: &str = "fescueshift-reader";
/// Path from which a client reads a key prefix.
pub const KEY_PREFIX_PATH: &str = "/.well-known/fescueshift/key-prefix";
/// Response of the test upstream: how often it has run the request's idempotency key.
pub const RUN_COUNT: &str = "fescueshift-run-count";
