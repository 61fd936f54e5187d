//! The instances of one process. Lines come in batches: the time, endpoint lists, then the events of one instance after another. The
//! end of a batch is answered with the actions of all instances.

use crate::actions::{parse_timer_key, ActionWriter};
use crate::message::{Message, MessageError};
use fernroute::host::{InvalidSetting, Settings, Time};
use fernroute::Balancer;
use fernroute_settings::{path_for_setting, setting_for_path};
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};

/// Why a session ended before the end of its input.
#[derive(Debug, thiserror::Error)]
pub enum SessionError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Message(#[from] MessageError),
    /// A setting of a new instance cannot be used; it is named by its path in the protocol.
    #[error("line 'hello': {} '{}'", .0.reason, path_for_setting(&.0.setting))]
    Setting(#[from] InvalidSetting),
    #[error("line 'update': unknown list {0}")]
    UnknownList(u32),
}

/// A list that is being received, and the number of entries still to come.
#[derive(Default)]
struct OpenList {
    id: u32,
    remaining: usize,
}

/// The state of one batch.
#[derive(Default)]
struct Batch {
    now: Time,
    serial: String,
    /// The instance that the next events are for.
    instance: Option<i64>,
    list: OpenList,
}

struct Instance {
    balancer: Balancer<ActionWriter>,
    actions: ActionWriter,
}

/// Runs the instances of one process. They share nothing but the numbered endpoint lists.
#[derive(Default)]
pub struct Session {
    /// By the bench's number; removed by a `teardown` line.
    instances: BTreeMap<i64, Instance>,
    /// The entries of each numbered list; bounded, since the bench reuses sixteen numbers.
    lists: BTreeMap<u32, Vec<String>>,
}

impl Session {
    /// Processes batches until the input ends.
    pub fn serve(&mut self, input: &mut impl BufRead, output: &mut impl Write) -> Result<(), SessionError> {
        let mut line = String::new();
        let mut batch = Batch::default();
        loop {
            line.clear();
            if input.read_line(&mut line)? == 0 {
                return Ok(());
            }
            self.handle_line(line.trim_end_matches(['\n', '\r']), &mut batch, output)?;
        }
    }

    fn handle_line(
        &mut self,
        line: &str,
        batch: &mut Batch,
        output: &mut impl Write,
    ) -> Result<(), SessionError> {
        let message = Message::new(line);
        match message.name {
            "clock" => {
                batch.now = message.time("at-time-s")?;
                message.require("serial")?.clone_into(&mut batch.serial);
                batch.instance = None;
            }
            "eob" => {
                self.write_reply(&batch.serial, output)?;
                output.flush()?;
            }
            "for" => batch.instance = Some(message.number("who")?),
            "manifest" => {
                batch.list =
                    OpenList { id: message.number("set-id")?, remaining: message.number("elements")? };
                self.lists.insert(batch.list.id, Vec::new());
            }
            "entry" if batch.list.remaining > 0 => {
                batch.list.remaining -= 1;
                self.lists.entry(batch.list.id).or_default().push(line.to_owned());
            }
            _ => {
                if let Some(instance) = batch.instance {
                    self.handle_event(instance, batch.now, &message)?;
                }
            }
        }
        Ok(())
    }

    fn write_reply(&mut self, serial: &str, output: &mut impl Write) -> io::Result<()> {
        for (number, instance) in &self.instances {
            instance.actions.drain_to(|lines| write!(output, "source\twho={number}\n{lines}"))?;
        }
        writeln!(output, "next\tserial={serial}")
    }

    fn handle_event(&mut self, number: i64, now: Time, message: &Message<'_>) -> Result<(), SessionError> {
        match message.name {
            "hello" => return self.start_instance(number, now, message),
            "teardown" => {
                self.instances.remove(&number);
                return Ok(());
            }
            _ => {}
        }
        let Some(instance) = self.instances.get_mut(&number) else { return Ok(()) };
        let balancer = &mut instance.balancer;
        match message.name {
            "update" => apply_update(balancer, &self.lists, now, message)?,
            "knock" => balancer.rpc_arrived(
                now,
                message.require("call")?,
                message.require("qos")?,
                message.get("billing").unwrap_or(""),
                message.get("object").unwrap_or(""),
                message.time("time-budget-s")?,
            ),
            "reply" => balancer.attempt_ended(
                now,
                message.require("call")?,
                message.number("hop")?,
                message.outcome()?,
                message.time("took-s")?,
                message.flag("ended"),
                &message.load_report(),
            ),
            "aborted" => balancer.rpc_abandoned(now, message.require("call")?),
            "started" => balancer.response_started(now, message.require("call")?),
            "bell" => {
                if let Some(timer) = parse_timer_key(message.require("key-back")?) {
                    balancer.timer_fired(now, &timer);
                }
            }
            _ => {}
        }
        Ok(())
    }

    fn start_instance(&mut self, number: i64, now: Time, message: &Message<'_>) -> Result<(), SessionError> {
        let seed = message.number::<u64>("random-seed")?;
        let settings: Settings =
            message.pairs().filter_map(|(path, value)| setting_for_path(path, value)).collect();
        let actions = ActionWriter::default();
        let balancer = Balancer::new(actions.clone(), now, seed, &settings)?;
        self.instances.insert(number, Instance { balancer, actions });
        Ok(())
    }
}

/// The kind of an update of the endpoint list.
#[derive(Clone, Copy, PartialEq, Eq)]
enum UpdateKind {
    /// A cached full list that an earlier instance hands over at the start.
    Initial,
    /// The current full list.
    Snapshot,
    /// The changes since the last update.
    Changes,
    /// The watch or poll of the list failed.
    Failed,
}

impl UpdateKind {
    fn from_mode(mode: u8) -> Option<Self> {
        match mode {
            0 => Some(UpdateKind::Initial),
            1 => Some(UpdateKind::Snapshot),
            2 => Some(UpdateKind::Changes),
            3 => Some(UpdateKind::Failed),
            _ => None,
        }
    }
}

fn apply_update(
    balancer: &mut Balancer<ActionWriter>,
    lists: &BTreeMap<u32, Vec<String>>,
    now: Time,
    message: &Message<'_>,
) -> Result<(), SessionError> {
    let Some(kind) = UpdateKind::from_mode(message.number("mode")?) else { return Ok(()) };
    if kind == UpdateKind::Failed {
        balancer.watch_failed(now);
        return Ok(());
    }
    let id = message.number::<u32>("set-id")?;
    let entries = lists.get(&id).ok_or(SessionError::UnknownList(id))?;
    balancer.snapshot_started(now, kind != UpdateKind::Changes);
    for entry in entries {
        apply_entry(balancer, &Message::new(entry))?;
    }
    balancer.snapshot_completed(kind != UpdateKind::Initial);
    Ok(())
}

fn apply_entry(balancer: &mut Balancer<ActionWriter>, entry: &Message<'_>) -> Result<(), MessageError> {
    let id = entry.require("upstream")?;
    match entry.number::<u8>("state")? {
        1 => balancer.upstream_ready(
            id,
            entry.get("rack-zone").unwrap_or(""),
            entry.get("block").unwrap_or(""),
            entry.get("kind").unwrap_or(""),
            entry.optional_time("up-since-s")?,
        ),
        2 => balancer.upstream_draining(id),
        3 => balancer.upstream_removed(id),
        _ => {}
    }
    Ok(())
}
