//! Fields that were added to messages after their first version. They follow the message in its
//! datagram, where processes of older versions ignore them; without them, the defaults apply.
//!
//! An extension is the sequence of its fields. New fields are appended, so that a process of any
//! version decodes the fields that it knows and that were sent.
//!
//! Only messages that carry no packet have an extension.

use fes_protocol::Result;
use serde::de::DeserializeOwned;

use crate::Era;
use crate::Message;
use crate::Priority;
use crate::Route;
use crate::bounded_encoding::decode_bounded;
use crate::bounded_encoding::encode_bounded;
use crate::era_of;
use crate::revision_in_era;

/// Appends the extension of a message to `buffer`, if the message has one.
pub(crate) fn encode_extension(message: &Message, buffer: &mut Vec<u8>) -> Result<()> {
    match message {
        Message::Load(report) => {
            encode_bounded(&(report.run_time_us, report.supports_priority), buffer)
        }
        Message::Hello(hello) => encode_bounded(&hello.warm_up, buffer),
        Message::Targets(part) => {
            let writes: Vec<u64> = part.targets.iter().map(|target| target.writes).collect();
            encode_bounded(&part.evacuations, buffer)?;
            encode_bounded(&writes, buffer)
        }
        Message::Digest(digest) if digest.supports_eras => {
            encode_bounded(&Some(era_of(digest.revision)), buffer)
        }
        Message::Routes(part) => {
            let priority = |route: &Route| route.requirements.priority;
            let priorities: Vec<Priority> = part.routes.iter().map(priority).collect();
            encode_bounded(&(&part.services, priorities), buffer)
        }
        _ => Ok(()),
    }
}

/// Reads the extension of a message from the bytes that follow it. Returns the carried packet.
pub(crate) fn decode_extension<'a>(message: &mut Message, rest: &'a [u8]) -> Result<&'a [u8]> {
    if rest.is_empty() {
        return Ok(rest);
    }
    let mut fields = Fields { rest };
    match message {
        Message::Load(report) => {
            report.run_time_us = fields.next()?;
            report.supports_priority = fields.next()?;
        }
        Message::Hello(hello) => hello.warm_up = fields.next()?,
        Message::Targets(part) => {
            part.evacuations = fields.next()?;
            let writes: Vec<u64> = fields.next()?;
            for (target, writes) in part.targets.iter_mut().zip(writes) {
                target.writes = writes;
            }
        }
        Message::Digest(digest) => {
            let era: Option<Era> = fields.next()?;
            digest.supports_eras = era.is_some();
            digest.revision = revision_in_era(era.unwrap_or(0), digest.revision);
        }
        Message::Routes(part) => {
            part.services = fields.next()?;
            let priorities: Vec<Priority> = fields.next()?;
            for (route, priority) in part.routes.iter_mut().zip(priorities) {
                route.requirements.priority = priority;
            }
        }
        _ => return Ok(rest),
    }
    Ok(&[])
}

/// Fields of an extension that are not decoded yet.
struct Fields<'a> {
    rest: &'a [u8],
}

impl Fields<'_> {
    /// Decodes the next field. Returns the default if the sender's version doesn't have the field.
    fn next<T: DeserializeOwned + Default>(&mut self) -> Result<T> {
        if self.rest.is_empty() {
            return Ok(T::default());
        }
        let (field, read_bytes) = decode_bounded(self.rest)?;
        self.rest = &self.rest[read_bytes..];
        Ok(field)
    }
}
