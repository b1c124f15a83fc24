//! Difference between two values of the configuration.

use std::collections::HashMap;
use std::iter;

use pomeloramp_proc_macros::value;
use prost::Message;

use crate::protos::control::PatchPiece;
use crate::protos::control::PatchStep;

/// Longest value that a patch may result in; the configuration service holds none longer.
const MAX_VALUE_BYTES: usize = 4 << 20;

/// Difference between two values: pieces of the former one and new bytes between them.
///
/// Lines are compared whole. A line that occurs once in the former value tells where the two run
/// alike again, so a patch is about as long as the lines that changed, wherever they stand.
#[value]
#[derive(Default)]
pub struct ValuePatch {
    pieces: Vec<PatchPiece>,
}

impl ValuePatch {
    /// Finds what changed from `former` to `new`.
    #[must_use]
    pub fn between(former: &[u8], new: &[u8]) -> Self {
        let prefix = common_length(former.iter(), new.iter());
        let (_, former_rest) = former.split_at(prefix);
        let (_, new_rest) = new.split_at(prefix);
        let suffix = common_length(former_rest.iter().rev(), new_rest.iter().rev());
        let former_middle = &former_rest[..former_rest.len() - suffix];
        let new_middle = &new_rest[..new_rest.len() - suffix];
        let mut patch = Self::default();
        patch.copy(0, prefix);
        patch.add_lines(prefix, former_middle, new_middle);
        patch.copy(former.len() - suffix, suffix);
        patch
    }

    /// Takes the pieces of a step that another process sent.
    #[must_use]
    pub fn from_step(step: &PatchStep) -> Self {
        Self {
            pieces: step.pieces.clone(),
        }
    }

    /// Returns the step that leads to `revision` by this patch.
    #[must_use]
    pub fn into_step(self, revision: u64) -> PatchStep {
        PatchStep {
            revision,
            pieces: self.pieces,
        }
    }

    /// Returns the new value, or `None` when the patch does not fit the former one.
    #[must_use]
    pub fn apply(&self, former: &[u8]) -> Option<Vec<u8>> {
        let mut new = Vec::with_capacity(former.len());
        for piece in &self.pieces {
            let start = usize::try_from(piece.copy_offset).ok()?;
            let length = usize::try_from(piece.copy_bytes).ok()?;
            let copied = former.get(start..start.checked_add(length)?)?;
            if new.len() + copied.len() + piece.insert.len() > MAX_VALUE_BYTES {
                return None;
            }
            new.extend_from_slice(copied);
            new.extend_from_slice(&piece.insert);
        }
        Some(new)
    }

    /// Returns the bytes that the patch takes in a message.
    #[must_use]
    pub fn encoded_bytes(&self) -> usize {
        self.pieces.iter().map(Message::encoded_len).sum()
    }

    /// Adds the difference between two runs of lines; the former one begins at `offset`.
    fn add_lines(&mut self, offset: usize, former: &[u8], new: &[u8]) {
        let former = FormerLines::new(offset, former);
        let new: Vec<&[u8]> = split_lines(new).collect();
        let mut former_at = 0;
        let mut new_at = 0;
        while new_at < new.len() {
            if former.texts.get(former_at) == Some(&new[new_at]) {
                self.copy(former.offsets[former_at], new[new_at].len());
                former_at += 1;
                new_at += 1;
                continue;
            }
            let (resumed_at, resumed_new) = former.resume(&new, new_at);
            for line in &new[new_at..resumed_new] {
                self.insert(line);
            }
            former_at = resumed_at;
            new_at = resumed_new;
        }
    }

    fn copy(&mut self, offset: usize, length: usize) {
        if length == 0 {
            return;
        }
        let (offset, length) = (offset as u64, length as u64);
        let last = self.pieces.last_mut().filter(|last| {
            let is_next = last.copy_offset + last.copy_bytes == offset;
            is_next && last.insert.is_empty()
        });
        if let Some(last) = last {
            last.copy_bytes += length;
            return;
        }
        self.pieces.push(PatchPiece {
            copy_offset: offset,
            copy_bytes: length,
            insert: Vec::new(),
        });
    }

    fn insert(&mut self, bytes: &[u8]) {
        if self.pieces.is_empty() {
            self.pieces.push(PatchPiece::default());
        }
        if let Some(last) = self.pieces.last_mut() {
            last.insert.extend_from_slice(bytes);
        }
    }
}

/// Lines of the former value.
struct FormerLines<'a> {
    texts: Vec<&'a [u8]>,
    /// Where each line begins in the whole former value.
    offsets: Vec<usize>,
    /// Index of each line that occurs once, `None` for the others.
    unique: HashMap<&'a [u8], Option<usize>>,
}

impl<'a> FormerLines<'a> {
    fn new(offset: usize, text: &'a [u8]) -> Self {
        let texts: Vec<&[u8]> = split_lines(text).collect();
        let mut offsets = Vec::with_capacity(texts.len());
        let mut unique = HashMap::with_capacity(texts.len());
        let mut next = offset;
        for (index, line) in texts.iter().copied().enumerate() {
            offsets.push(next);
            next += line.len();
            unique
                .entry(line)
                .and_modify(|known| *known = None)
                .or_insert(Some(index));
        }
        Self {
            texts,
            offsets,
            unique,
        }
    }

    /// Returns the next place, as indexes in the former and the new value, from which both run
    /// alike again; the ends of both if there is none.
    fn resume(&self, new: &[&[u8]], new_at: usize) -> (usize, usize) {
        let found = new[new_at..]
            .iter()
            .zip(new_at..)
            .find_map(|(line, at)| Some((self.unique.get(line).copied().flatten()?, at)));
        let Some((mut former_at, mut at)) = found else {
            return (self.texts.len(), new.len());
        };
        while at > new_at && former_at > 0 && self.texts[former_at - 1] == new[at - 1] {
            at -= 1;
            former_at -= 1;
        }
        (former_at, at)
    }
}

fn split_lines(text: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = text;
    iter::from_fn(move || {
        if rest.is_empty() {
            return None;
        }
        let end = rest.iter().position(|byte| *byte == b'\n');
        let (line, after) = rest.split_at(end.map_or(rest.len(), |end| end + 1));
        rest = after;
        Some(line)
    })
}

fn common_length<'a>(
    left: impl Iterator<Item = &'a u8>,
    right: impl Iterator<Item = &'a u8>,
) -> usize {
    left.zip(right).take_while(|(a, b)| a == b).count()
}
