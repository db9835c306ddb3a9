//! Fields that were added to messages after their first version. They follow the message in its
//! datagram, where processes of older versions ignore them; without them, the defaults apply.
//!
//! Only messages that carry no packet have an extension.

use fes_protocol::Error;
use fes_protocol::Result;
use fes_protocol::ResultCode;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Evacuation;
use crate::Message;
use crate::ServiceWarmUp;
use crate::WarmUpHint;
use crate::codec::CONFIG;

#[derive(Debug, Serialize, Deserialize)]
struct LoadExtension {
    run_time_us: u32,
}

#[derive(Debug, Serialize, Deserialize)]
struct HelloExtension {
    warm_up: Option<WarmUpHint>,
}

#[derive(Debug, Serialize, Deserialize)]
struct TargetsExtension {
    evacuations: Option<Vec<Evacuation>>,
}

#[derive(Debug, Serialize, Deserialize)]
struct RoutesExtension {
    services: Vec<ServiceWarmUp>,
}

/// Appends the extension of a message to `buffer`, if the message has one.
pub(crate) fn encode_extension(message: &Message, buffer: &mut Vec<u8>) -> Result<()> {
    match message {
        Message::Load(report) => {
            let run_time_us = report.run_time_us;
            encode(&LoadExtension { run_time_us }, buffer)
        }
        Message::Hello(hello) => {
            let warm_up = hello.warm_up;
            encode(&HelloExtension { warm_up }, buffer)
        }
        Message::Targets(part) => {
            let evacuations = part.evacuations.clone();
            encode(&TargetsExtension { evacuations }, buffer)
        }
        Message::Routes(part) => {
            let services = part.services.clone();
            encode(&RoutesExtension { services }, buffer)
        }
        _ => Ok(()),
    }
}

/// Reads the extension of a message from the bytes that follow it. Returns the carried packet.
pub(crate) fn decode_extension<'a>(message: &mut Message, rest: &'a [u8]) -> Result<&'a [u8]> {
    if rest.is_empty() {
        return Ok(rest);
    }
    match message {
        Message::Load(report) => {
            let extension: LoadExtension = decode(rest)?;
            report.run_time_us = extension.run_time_us;
        }
        Message::Hello(hello) => {
            let extension: HelloExtension = decode(rest)?;
            hello.warm_up = extension.warm_up;
        }
        Message::Targets(part) => {
            let extension: TargetsExtension = decode(rest)?;
            part.evacuations = extension.evacuations;
        }
        Message::Routes(part) => {
            let extension: RoutesExtension = decode(rest)?;
            part.services = extension.services;
        }
        _ => return Ok(rest),
    }
    Ok(&[])
}

fn encode(extension: &impl Serialize, buffer: &mut Vec<u8>) -> Result<()> {
    let written = bincode::serde::encode_into_std_write(extension, buffer, CONFIG);
    written
        .map(|_| ())
        .map_err(|e| Error::coded(ResultCode::ControlTooLarge, e.to_string()))
}

/// Decodes an extension, which a later version may have made longer.
fn decode<T: DeserializeOwned>(rest: &[u8]) -> Result<T> {
    let decoded = bincode::serde::decode_from_slice(rest, CONFIG);
    decoded
        .map(|(extension, _)| extension)
        .map_err(|e| Error::coded(ResultCode::ControlMalformed, e.to_string()))
}
