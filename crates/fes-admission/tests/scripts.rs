//! Scenario scripts. Each script states the failure that it guards against.
//!
//! Commands: `new slots=N [queue=N] [max-classes=N]`, `at MS`, `arrive ID CLASS [deadline=MS]
//! [once] [from=client|relayed|offloaded]`, `passed-on CLASS` (a request was offloaded to a peer),
//! `finish|fail|cancel|shed ID`, `up`, `down`, `drain`, `resume`, `timer`, `load`, `counts`.
//! `once` marks a non-repeatable request. Class `short` takes 20 ms, `long` takes 1,000 ms.

use std::error::Error;
use std::fmt::Write;
use std::num::ParseIntError;
use std::str::FromStr;

use fes_admission::AdmissionAction;
use fes_admission::AdmissionController;
use fes_admission::AdmissionEvent;
use fes_admission::AdmissionSettings;
use fes_admission::ClassName;
use fes_admission::RequestOrigin;
use fes_protocol::MonoTime;
use fes_protocol::RequestId;
use goldenscript::ArgumentConsumer;
use goldenscript::Command;
use goldenscript::Context;
use rstest::rstest;

struct ScriptRunner {
    now: MonoTime,
    admission: AdmissionController,
}

fn settings(slots: u32) -> AdmissionSettings {
    AdmissionSettings::for_slots(slots)
        .with_prior(ClassName::from("short"), 20_000)
        .with_prior(ClassName::from("long"), 1_000_000)
}

fn runner() -> ScriptRunner {
    ScriptRunner {
        now: MonoTime::ZERO,
        admission: AdmissionController::new(MonoTime::ZERO, settings(4)),
    }
}

impl ScriptRunner {
    fn handle(&mut self, event: AdmissionEvent) -> String {
        let mut text = String::new();
        for action in self.admission.handle(self.now, event) {
            let _ = match action {
                AdmissionAction::Start { id } => writeln!(text, "start {id}"),
                AdmissionAction::Refuse { id, code } => {
                    writeln!(text, "refuse {id} {}", code.name())
                }
                AdmissionAction::Timer { at } => writeln!(text, "timer {}", at.as_ms()),
            };
        }
        text
    }
}

fn parse_key<T: FromStr<Err = ParseIntError>>(
    arguments: &mut ArgumentConsumer<'_>,
    key: &str,
) -> Result<Option<T>, Box<dyn Error>> {
    Ok(arguments.take_key(key).map(str::parse).transpose()?)
}

impl goldenscript::Runner for ScriptRunner {
    type Command = Command;

    fn run(&mut self, command: &Command, _context: &Context) -> Result<String, Box<dyn Error>> {
        let mut arguments = command.consume_args();
        let output = match command.name.as_str() {
            "new" => {
                let mut settings = settings(parse_key(&mut arguments, "slots")?.unwrap_or(4));
                if let Some(capacity) = parse_key(&mut arguments, "queue")? {
                    settings.queue_capacity = capacity;
                }
                if let Some(max) = parse_key(&mut arguments, "max-classes")? {
                    settings.max_classes = max;
                }
                self.now = MonoTime::ZERO;
                self.admission = AdmissionController::new(self.now, settings);
                String::new()
            }
            "at" => {
                let ms = arguments.next_pos().ok_or("time missing")?.parse()?;
                self.now = MonoTime::from_ms(ms);
                String::new()
            }
            "arrive" => {
                let deadline_ms = parse_key(&mut arguments, "deadline")?.unwrap_or(u64::MAX);
                let origin = match arguments.take_key("from") {
                    Some("relayed") => RequestOrigin::Relayed,
                    Some("offloaded") => RequestOrigin::Offloaded,
                    _ => RequestOrigin::Client,
                };
                let id = RequestId(arguments.next_pos().ok_or("ID missing")?.parse()?);
                let class = arguments.next_pos().ok_or("class missing")?;
                let class = ClassName::from(class);
                let repeatable = arguments.next_pos().is_none_or(|flag| flag != "once");
                self.handle(AdmissionEvent::Arrive {
                    id,
                    class,
                    deadline: MonoTime::from_ms(deadline_ms),
                    repeatable,
                    origin,
                })
            }
            "passed-on" => {
                let class = ClassName::from(arguments.next_pos().ok_or("class missing")?);
                self.handle(AdmissionEvent::OffloadedToPeer { class })
            }
            "finish" | "fail" | "cancel" | "shed" => {
                let id = RequestId(arguments.next_pos().ok_or("ID missing")?.parse()?);
                self.handle(match command.name.as_str() {
                    "finish" => AdmissionEvent::Finished { id },
                    "fail" => AdmissionEvent::Failed { id },
                    "cancel" => AdmissionEvent::Cancelled { id },
                    _ => AdmissionEvent::UpstreamShed { id },
                })
            }
            "up" => self.handle(AdmissionEvent::UpstreamUp),
            "down" => self.handle(AdmissionEvent::UpstreamDown),
            "drain" => self.handle(AdmissionEvent::Drain),
            "resume" => self.handle(AdmissionEvent::Resume),
            "timer" => self.handle(AdmissionEvent::Timer),
            "load" => {
                let load = self.admission.load(self.now);
                format!(
                    "capacity {} demand {} movable {} wait {} ms long wait {} ms\n",
                    load.capacity_milli,
                    load.demand_milli,
                    load.movable_milli,
                    load.queue_wait_ms,
                    load.long_wait_ms
                )
            }
            "counts" => format!(
                "running {} queued {} drained {}\n",
                self.admission.running_count(),
                self.admission.queued_count(),
                self.admission.is_drained()
            ),
            name => return Err(format!("unknown command {name}").into()),
        };
        arguments.reject_next()?;
        Ok(output)
    }
}

#[rstest]
fn script_gives_the_recorded_actions(#[files("tests/scripts/*.txt")] path: std::path::PathBuf) {
    goldenscript::run(&mut runner(), path).unwrap();
}
