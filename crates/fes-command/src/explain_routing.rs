//! Explains where a datagram or an idempotency key is routed, and by which rule.

use std::path::Path;
use std::sync::Arc;

use fes_idempotency::KeyClass;
use fes_idempotency::KeyOwner;
use fes_idempotency::PrefixCodec;
use fes_protocol::Error;
use fes_protocol::Incarnation;
use fes_protocol::KeyRing;
use fes_protocol::MonoTime;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use fes_protocol::ServiceId;
use fes_protocol::TargetId;
use fes_protocol::Ticket;
use fes_routing::AllAlive;
use fes_routing::Decision;
use fes_routing::RouteTable;
use fes_routing::Router;
use fes_routing::RoutingRule;
use fes_settings::EntrySettings;
use fes_tickets::TicketStore;
use serde::Serialize;

/// Explanation of a datagram or key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct Explanation {
    /// What happens to the datagram or to requests with the key, as a clause without a subject.
    pub(crate) outcome: String,
    /// Rule that applies.
    pub(crate) rule: &'static str,
    /// Target of the datagram or owner of the key.
    pub(crate) target: Option<u32>,
    /// Name of the upstream, if a ticket contains it.
    pub(crate) upstream: Option<String>,
    /// Number of the ticket from which the route table of the service is built.
    pub(crate) ticket: Option<u64>,
    /// Result code, if the datagram is dropped or requests with the key are answered immediately.
    pub(crate) code: Option<String>,
}

/// Secret keys and tickets on which explanations are based.
pub(crate) struct RoutingContext {
    keys: KeyRing,
    store: TicketStore,
    service: ServiceId,
}

impl RoutingContext {
    /// Reads the secret keys from the settings file of an entry and the routing state from tickets.
    pub(crate) fn new(
        settings: &Path,
        tickets: impl IntoIterator<Item = Arc<Ticket>>,
        service: ServiceId,
    ) -> Result<Self> {
        let settings = EntrySettings::load(settings).map_err(|faults| {
            Error::coded(
                ResultCode::UsageInvalid,
                faults.to_string().trim_end().to_owned(),
            )
        })?;
        let mut store = TicketStore::new();
        for ticket in tickets {
            store.apply(ticket);
        }
        Ok(Self {
            keys: settings.node.keys.initial_ring(),
            store,
            service,
        })
    }

    /// Explains what an entry does with a datagram of a client if all targets are alive.
    pub(crate) fn explain_datagram(&self, datagram: &[u8]) -> Explanation {
        let snapshot = self.store.snapshot();
        let objects = snapshot
            .services()
            .map(|object| (object.version.number, Arc::clone(&object.value)));
        let table = RouteTable::rebuild(&RouteTable::default(), MonoTime::ZERO, objects);
        let router = Router::new(Arc::new(table), &self.keys);
        match router.decide(self.service, datagram, &AllAlive) {
            Decision::Forward {
                target,
                agent_address,
                ticket,
                rule,
            } => Explanation {
                outcome: format!("goes to the agent at {agent_address}"),
                rule: rule_text(rule),
                ticket: Some(ticket.0),
                ..self.target_explanation(target)
            },
            Decision::Drop(code) => Explanation {
                outcome: "is dropped".to_owned(),
                rule: "no rule of routing applies",
                target: None,
                upstream: None,
                ticket: None,
                code: Some(code.to_string()),
            },
        }
    }

    /// Explains which agent may run a request with this idempotency key.
    pub(crate) fn explain_key(&self, value: &str) -> Explanation {
        // Incarnation 0 doesn't exist, so that every valid key is classified as another agent's.
        let no_owner = KeyOwner {
            service: self.service,
            target: TargetId(0),
            incarnation: Incarnation(0),
        };
        let class = KeyClass::classify(
            value.as_bytes(),
            &PrefixCodec::new(self.keys.clone()),
            no_owner,
        );
        let code = class.immediate_code().map(|code| code.to_string());
        let (KeyClass::Owned(key) | KeyClass::OtherIncarnation(key) | KeyClass::OtherTarget(key)) =
            class
        else {
            return Explanation {
                outcome: "is answered at once by any agent".to_owned(),
                rule: "the prefix names no owner that can be verified",
                target: None,
                upstream: None,
                ticket: None,
                code,
            };
        };
        let owner = key.prefix.owner;
        Explanation {
            outcome: format!(
                "runs at incarnation {} only; issued {} ms after that agent's start",
                owner.incarnation, key.prefix.issue_ms
            ),
            rule: "the prefix names the owner",
            ..self.target_explanation(owner.target)
        }
    }

    fn target_explanation(&self, target: TargetId) -> Explanation {
        let snapshot = self.store.snapshot();
        let object = snapshot.service(self.service);
        let upstream = object.and_then(|object| {
            let mut upstreams = object.value.upstreams.iter();
            upstreams.find(|upstream| upstream.target == target)
        });
        Explanation {
            outcome: String::new(),
            rule: "",
            target: Some(target.0),
            upstream: upstream.map(|upstream| upstream.name.to_string()),
            ticket: object.map(|object| object.version.number.0),
            code: None,
        }
    }
}

/// Parses pairs of hexadecimal digits. White space and colons are ignored.
pub(crate) fn parse_hex(text: &str) -> Result<Vec<u8>> {
    let digits: Vec<u8> = text
        .bytes()
        .filter(|byte| !byte.is_ascii_whitespace() && *byte != b':')
        .collect();
    let byte = |pair: &[u8]| {
        let text = std::str::from_utf8(pair).ok().filter(|_| pair.len() == 2)?;
        u8::from_str_radix(text, 16).ok()
    };
    digits
        .chunks(2)
        .map(byte)
        .collect::<Option<Vec<u8>>>()
        .ok_or_else(|| {
            let detail = "the datagram must be given as pairs of hexadecimal digits";
            Error::coded(ResultCode::UsageInvalid, detail)
        })
}

const fn rule_text(rule: RoutingRule) -> &'static str {
    match rule {
        RoutingRule::ConnectionId => "the connection ID names the target",
        RoutingRule::LostTarget => "the connection ID names a target that no ticket has",
        RoutingRule::Placement => "a first packet follows the placement table",
    }
}
