//! Fields that later builds add at the end of a message.
//!
//! Messages are encoded without names of fields, so a build that does not know a field can only skip it
//! at the end, and a build that does gets no value from an older sender. Both are served side by side
//! during an upgrade.

use serde::Deserialize;

/// Decodes a field at the end of a message. The default stands for a field that the sender does not know.
///
/// # Errors
/// None: what cannot be read counts as missing.
pub fn or_default<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: serde::Deserializer<'de>,
    T: Default + Deserialize<'de>,
{
    Ok(T::deserialize(deserializer).unwrap_or_default())
}
