//! Secret keys and their epochs.

use fes_protocol::KeyEpoch;
use fes_protocol::KeyRing;
use fes_protocol::ResultCode;
use fes_protocol::SecretKey;

use crate::reader::TableReader;

const KEY_HEX_DIGITS: usize = 32;
const MAX_EPOCH: i64 = 3;
const EPOCH_COUNT: u8 = 4;
/// A key ring accepts only two epochs. If a third key were configured, a peer might use it while
/// this process rejects it.
const MAX_KEYS: usize = 2;
const ALLOWED_KEY: &str = "either key = 32 hexadecimal digits or file = a readable file with them";

/// One or two secret keys of adjacent epochs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SecretKeys {
    first: (KeyEpoch, SecretKey),
    second: Option<(KeyEpoch, SecretKey)>,
}

impl SecretKeys {
    /// Creates a set of one key.
    #[must_use]
    pub const fn new(epoch: KeyEpoch, key: SecretKey) -> Self {
        Self {
            first: (epoch, key),
            second: None,
        }
    }

    /// Adds the key of an adjacent epoch, which becomes accepted but not current.
    #[must_use]
    pub fn with_adjacent_key(mut self, epoch: KeyEpoch, key: SecretKey) -> Self {
        self.second = Some((epoch, key));
        self
    }

    /// Returns the key ring that applies until a ticket sets the epoch. Its current key is the
    /// first one in the settings.
    #[must_use]
    pub fn initial_ring(&self) -> KeyRing {
        let ring = KeyRing::new(self.first.0, self.first.1.clone());
        match &self.second {
            Some((epoch, key)) => ring.with_adjacent_key(*epoch, key.clone()),
            None => ring,
        }
    }

    /// Returns the key ring whose current epoch is `current`, or `None` if that key isn't
    /// configured. The other key is accepted too, whether its epoch is the previous or the next
    /// one, because peers apply a key rotation at different times.
    #[must_use]
    pub fn ring(&self, current: KeyEpoch) -> Option<KeyRing> {
        if self.first.0 == current {
            return Some(self.initial_ring());
        }
        let (epoch, key) = self.second.as_ref()?;
        (*epoch == current).then(|| {
            KeyRing::new(*epoch, key.clone()).with_adjacent_key(self.first.0, self.first.1.clone())
        })
    }

    /// Reads the `[[key]]` tables of `root`.
    pub(crate) fn read(root: &TableReader<'_>) -> Option<Self> {
        let tables = root.tables("key");
        if tables.is_empty() {
            root.record_missing("key", "one or two [[key]] tables");
            return None;
        }
        let parsed: Vec<Option<(KeyEpoch, SecretKey)>> = tables.iter().map(read_key).collect();
        if parsed.len() > MAX_KEYS {
            root.record_fault(
                "key",
                ResultCode::SettingsBadKey,
                format!("{} keys", parsed.len()),
                "at most two keys, of adjacent epochs",
            );
        }
        let mut keys = parsed.into_iter().collect::<Option<Vec<_>>>()?.into_iter();
        let first = keys.next()?;
        let second = keys.next();
        if let Some((epoch, _)) = &second {
            check_adjacent(&tables[1], first.0, *epoch);
        }
        Some(Self { first, second })
    }
}

fn check_adjacent(table: &TableReader<'_>, first: KeyEpoch, second: KeyEpoch) {
    if first == second {
        table.record_fault(
            "epoch",
            ResultCode::SettingsDuplicate,
            second.to_string(),
            "an epoch that no other key has",
        );
        return;
    }
    let next_epoch = |epoch: KeyEpoch| (epoch.0 + 1) % EPOCH_COUNT;
    if next_epoch(first) != second.0 && next_epoch(second) != first.0 {
        table.record_fault(
            "epoch",
            ResultCode::SettingsBadNumber,
            second.to_string(),
            "the epoch before or after the first key's, modulo 4",
        );
    }
}

fn read_key(table: &TableReader<'_>) -> Option<(KeyEpoch, SecretKey)> {
    let epoch = table.number("epoch", 0..=MAX_EPOCH, None);
    let inline_key = table.optional_string("key", ResultCode::SettingsBadKey);
    let file = table.optional_path("file");
    table.record_unknown_keys();
    let (settings_key, text) = match (inline_key, file) {
        (Some(text), None) => ("key", text),
        (None, Some(path)) => match std::fs::read_to_string(&path) {
            Ok(text) => ("file", text),
            Err(error) => {
                let value = format!("{}: {error}", path.display());
                table.record_fault("file", ResultCode::SettingsBadKey, value, ALLOWED_KEY);
                return None;
            }
        },
        _ => {
            table.record_missing("key", ALLOWED_KEY);
            return None;
        }
    };
    let secret = parse_key(text.trim());
    if secret.is_none() {
        let value = format!("(redacted, {} characters)", text.trim().chars().count());
        table.record_fault(settings_key, ResultCode::SettingsBadKey, value, ALLOWED_KEY);
    }
    Some((KeyEpoch(u8::try_from(epoch?).ok()?), secret?))
}

fn parse_key(text: &str) -> Option<SecretKey> {
    if text.len() != KEY_HEX_DIGITS || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    u128::from_str_radix(text, 16)
        .ok()
        .map(|number| SecretKey::new(number.to_be_bytes()))
}
