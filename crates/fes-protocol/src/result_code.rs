//! Numbered result codes. `docs/result-codes.md` lists them all.

use std::fmt;

macro_rules! result_codes {
    ($($name:ident = $number:literal, $summary:literal, $help:literal;)*) => {
        /// A numbered result code. The thousands digit gives the group: 1 settings, 2 not run,
        /// 3 outcome unknown or incomplete, 4 tickets, 5 datagrams, 6 links and platform,
        /// 7 process, 8 command line.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[non_exhaustive]
        pub enum ResultCode {
            $(#[doc = $summary] $name = $number,)*
        }

        impl ResultCode {
            /// All codes in ascending order.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the identifier of the code.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$name => stringify!($name),)*
                }
            }

            /// Returns what happened, as one clause.
            #[must_use]
            pub const fn summary(self) -> &'static str {
                match self {
                    $(Self::$name => $summary,)*
                }
            }

            /// Returns advice for the operator or the client.
            #[must_use]
            pub const fn help(self) -> &'static str {
                match self {
                    $(Self::$name => $help,)*
                }
            }
        }
    };
}

result_codes! {
    SettingsUnreadable = 1001, "the settings file can't be read",
        "Check the path and the file's permissions.";
    SettingsSyntax = 1002, "the settings file is not valid TOML",
        "Correct the syntax at the reported line.";
    SettingsUnknownKey = 1003, "a key is not known",
        "Remove the key or correct its spelling; docs/settings.md lists all keys.";
    SettingsMissingKey = 1004, "a required key is missing",
        "Add the key; docs/settings.md shows complete examples.";
    SettingsBadAddress = 1005, "an address can't be parsed",
        "Use IP:PORT with a numeric IP address.";
    SettingsBadNumber = 1006, "a number is outside its range",
        "Use a number in the reported range.";
    SettingsDuplicate = 1007, "two items have the same ID or address",
        "Give each item its own ID and address.";
    SettingsBadKey = 1008, "a secret key can't be read or has the wrong length",
        "Use 32 hexadecimal digits, inline or in a readable file.";
    SettingsBadName = 1009, "a name is empty or has characters that are not allowed",
        "Use lower-case letters, digits, '-' and '.'.";
    SettingsBadCertificate = 1010, "a certificate or private key can't be read",
        "Use a PEM file that the process may read.";
    NotRunOverloaded = 2001, "the request was refused on arrival because it would miss its deadline",
        "Retry later with a new idempotency key, or allow a longer deadline.";
    NotRunQueueFull = 2002, "the request was refused because the queue is full",
        "Retry later with a new idempotency key.";
    NotRunDeadline = 2003, "the deadline passed before the request started",
        "Allow a longer deadline or reduce the load.";
    NotRunDraining = 2004, "the agent is leaving and starts no new work",
        "Reconnect; another agent will take the connection.";
    NotRunNoKeyPrefix = 2005, "the idempotency key has no valid prefix",
        "Use the prefix from the fescueshift-key-prefix response header.";
    NotRunKeyReused = 2006, "the idempotency key was used with another request",
        "Use a new key for each request.";
    NotRunUpstreamRefused = 2007, "the upstream refused the request without running it",
        "Retry later with a new idempotency key.";
    NotRunUpstreamDown = 2008, "the agent has no connection to its upstream",
        "Check the upstream process on this VM.";
    NotRunCancelled = 2009, "the client cancelled the request before it started",
        "None needed.";
    NotRunSticky = 2010, "an earlier try of this key was refused as not run",
        "Use a new idempotency key for a new try.";
    NotRunPeersFull = 2011, "no peer of this service accepts more work",
        "Add upstreams or wait for demand to fall.";
    NotRunStoreFull = 2012, "the idempotency store has no room for another key",
        "Wait until older keys expire.";
    UnknownOwnerLost = 3001, "the key belongs to an incarnation that no longer exists; the outcome is unknown",
        "Reconcile with the service's own records; don't repeat the request.";
    UnknownOwnerUnreachable = 3002, "the owner of the key can't be reached; the outcome is unknown",
        "Ask again with the same key after the partition heals.";
    UnknownUpstreamLost = 3003, "the upstream connection was lost after the request was sent; the outcome is unknown",
        "Reconcile with the service's own records.";
    UnknownKeyExpired = 3004, "the key is older than the retention bound; the outcome is unknown",
        "Reconcile with the service's own records.";
    FinishedNotHeld = 3005, "the request ran and finished; its response is no longer held",
        "Read the result from the service.";
    ResponseTruncated = 3006, "the upstream ended the response before it was complete",
        "Retry if the request may be repeated.";
    UnknownDrainBound = 3007, "the drain bound passed while the request was running; the outcome is unknown",
        "Raise drain_bound_ms above the longest request.";
    UnknownKeyEpoch = 3008, "the key's prefix can't be verified under the key epochs in use; the outcome is unknown",
        "Reconcile with the service's own records; rotate key epochs less often than keys expire.";
    UnknownDeadline = 3009, "the deadline passed while the request was running; the outcome is unknown",
        "Allow a longer deadline; reconcile with the service's own records.";
    TicketSyntax = 4001, "the ticket can't be parsed",
        "Correct the syntax at the reported place.";
    TicketInvalid = 4002, "the ticket has faults",
        "Correct all reported faults; docs/tickets.md has examples.";
    TicketStale = 4003, "a ticket with a higher number is in force",
        "Publish the change under a new, higher number.";
    TicketConflict = 4004, "two different tickets carry the same number",
        "Publish the intended state under a new number.";
    TicketTooLarge = 4005, "the ticket is larger than a platform value may be",
        "Split the change into several tickets.";
    TicketDuplicate = 4006, "an ID, name or address appears twice in the ticket",
        "Give each item its own.";
    TicketBadReference = 4007, "the ticket names a data centre that the service doesn't span",
        "Add the data centre to the service or move the upstream.";
    TicketBadNumber = 4008, "a number in the ticket is outside its range",
        "Use a number in the reported range.";
    TicketBadAddress = 4009, "an address in the ticket can't be parsed",
        "Use IP:PORT with a numeric IP address.";
    TicketEmpty = 4010, "the ticket changes nothing",
        "Add at least one object.";
    TicketUnknownField = 4011, "the ticket has a field that is not known",
        "Remove the field or correct its spelling.";
    TicketBadName = 4012, "a name in the ticket is empty or has characters that are not allowed",
        "Use lower-case letters, digits, '-' and '.'.";
    TicketMissingField = 4013, "a required field of the ticket is missing or empty",
        "Add the field; docs/tickets.md has examples.";
    TicketWrongType = 4014, "a field of the ticket has the wrong type",
        "Use the type that is reported as allowed.";
    TicketBadChoice = 4015, "a field of the ticket has a value that is not allowed",
        "Use one of the reported values.";
    TicketRetiredService = 4016, "the ticket uses the ID of a retired service",
        "Publish the service under a new ID.";
    DatagramTooShort = 5001, "a datagram was shorter than its header",
        "None needed unless the count grows; then look for a scanner.";
    DatagramTooLarge = 5002, "a client datagram was larger than entries forward",
        "None needed; path MTU discovery settles below the limit.";
    DatagramMalformed = 5003, "a datagram could not be parsed",
        "None needed unless the count grows.";
    DatagramWrongVersion = 5004, "an encapsulated datagram had another version",
        "Upgrade the older processes.";
    DatagramUnknownKeyEpoch = 5005, "an encapsulated datagram used a key epoch that is not accepted",
        "Check the key epochs in the settings of sender and receiver.";
    DatagramForged = 5006, "the MAC of an encapsulated datagram did not match",
        "Check that all processes share the same keys; otherwise look for a sender of forged datagrams.";
    DatagramWrongService = 5007, "a datagram named another service than its receiver serves",
        "None needed unless the count grows.";
    DatagramUnknownFlow = 5008, "a connection ID could not be decrypted",
        "None needed unless the count grows.";
    DatagramNoTarget = 5009, "the service has no target that can take the datagram",
        "Check the service's upstreams with 'fescueshift status'.";
    DatagramUnknownSender = 5010, "a datagram came from a process that no ticket names",
        "Check the fleet object in the tickets.";
    DatagramReplayed = 5011, "a control datagram was received before",
        "None needed unless the count grows.";
    DatagramHopLimit = 5012, "a first packet had already been forwarded once",
        "None needed.";
    DatagramNotSent = 5013, "a datagram could not be sent because the socket's buffer was full",
        "Look for overload of the VM; QUIC sends the content again.";
    DatagramNoEntry = 5014, "an agent knows no entry that could return a datagram",
        "Check the fleet objects in the tickets and the network between agents and entries.";
    ControlMalformed = 6001, "a control message could not be parsed",
        "Upgrade the older processes.";
    ControlTooLarge = 6002, "a control message was too large",
        "Report this as a defect.";
    LinkRefused = 6003, "a link to another process could not be opened",
        "Check that the process runs and its address is right.";
    LinkUnauthenticated = 6004, "a link's certificate was not accepted",
        "Check the certificate authority in the settings.";
    LinkClosed = 6005, "a link closed while a message was in transit",
        "None needed; the link is opened again.";
    PlatformUnreachable = 6006, "the platform's configuration service does not answer",
        "Tickets in force stay in force; check the platform.";
    PlatformStale = 6007, "the platform returned a lower ticket number than is in force",
        "Check whether the platform was rolled back; publish a higher number.";
    PlatformMalformed = 6008, "the platform returned a value that can't be parsed",
        "Check the published value with 'fescueshift check'.";
    BindFailed = 7001, "a socket could not be bound",
        "Check that the address is free and belongs to this VM.";
    ClockJumped = 7002, "the process was paused or its clock jumped; liveness timeouts are reset",
        "Look for VM pauses on the host.";
    DrainBoundReached = 7003, "work was still in progress when the drain bound passed",
        "Raise drain_bound_ms above the longest request.";
    UsageInvalid = 8001, "the command line is not valid",
        "See 'fescueshift --help'.";
    EndpointUnreachable = 8002, "a status endpoint could not be read",
        "Check the address and that the process runs.";
    OutputUnwritable = 8003, "an output file can't be written",
        "Check the directory and its permissions.";
    RunFailed = 8004, "a run ended with losses or other violations",
        "Read the reported counters; each has a page under docs/operations.";
    TargetMissed = 8005, "a measured figure missed its target",
        "See docs/measurements.md and KNOWN-RED.txt.";
    LogUnreadable = 8006, "a log file can't be read",
        "Check the path and the file's permissions.";
    LogEmpty = 8007, "the logs have no readable line",
        "Pass the output of entries and agents, at log level info or a lower one.";
    LogWithoutRestart = 8008, "the logs have no restart to begin with",
        "Pass logs that reach back to the restart; if fewer than half of the processes started within 3 s, pass an earlier --from.";
}

impl ResultCode {
    /// Returns the number of the code.
    #[must_use]
    pub const fn number(self) -> u16 {
        self as u16
    }

    /// Returns the code with this number, if there is one.
    #[must_use]
    pub fn from_number(number: u16) -> Option<Self> {
        Self::ALL
            .iter()
            .copied()
            .find(|code| code.number() == number)
    }

    /// Returns whether the code states that the request did not run.
    #[must_use]
    pub const fn is_not_run(self) -> bool {
        self.number() / 1_000 == 2
    }
}

impl fmt::Display for ResultCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "F{:04} {}", self.number(), self.summary())
    }
}
