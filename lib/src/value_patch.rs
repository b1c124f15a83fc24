//! Binary patch between two configuration values.

use std::collections::HashMap;
use std::iter;

use pomeloramp_proc_macros::value;
use prost::Message;

use crate::protos::control::PatchPiece;
use crate::protos::control::PatchStep;

/// Largest result of a patch; the configuration service stores no larger values.
const MAX_VALUE_BYTES: usize = 4 << 20;

/// Difference between two values: ranges to copy from the old value and new bytes to insert.
///
/// Whole lines are compared. After a difference, the comparison resumes at the next line that
/// occurs exactly once in the old value, so the size of a patch is about that of the changed lines,
/// wherever they are.
#[value]
#[derive(Default)]
pub struct ValuePatch {
    pieces: Vec<PatchPiece>,
}

impl ValuePatch {
    /// Computes the patch from `old` to `new`.
    #[must_use]
    pub fn between(old: &[u8], new: &[u8]) -> Self {
        let prefix = common_length(old.iter(), new.iter());
        let (_, old_rest) = old.split_at(prefix);
        let (_, new_rest) = new.split_at(prefix);
        let suffix = common_length(old_rest.iter().rev(), new_rest.iter().rev());
        let old_middle = &old_rest[..old_rest.len() - suffix];
        let new_middle = &new_rest[..new_rest.len() - suffix];
        let mut patch = Self::default();
        patch.copy(0, prefix);
        patch.add_lines(prefix, old_middle, new_middle);
        patch.copy(old.len() - suffix, suffix);
        patch
    }

    /// Creates the patch from a step that another process sent.
    #[must_use]
    pub fn from_step(step: &PatchStep) -> Self {
        Self {
            pieces: step.pieces.clone(),
        }
    }

    /// Converts the patch into the step that leads to `revision`.
    #[must_use]
    pub fn into_step(self, revision: u64) -> PatchStep {
        PatchStep {
            revision,
            pieces: self.pieces,
        }
    }

    /// Returns the new value, or `None` when the patch cannot be applied to `old` or the result
    /// would be too large.
    #[must_use]
    pub fn apply(&self, old: &[u8]) -> Option<Vec<u8>> {
        let mut new = Vec::with_capacity(old.len());
        for piece in &self.pieces {
            let start = usize::try_from(piece.copy_offset).ok()?;
            let length = usize::try_from(piece.copy_bytes).ok()?;
            let copied = old.get(start..start.checked_add(length)?)?;
            if new.len() + copied.len() + piece.insert.len() > MAX_VALUE_BYTES {
                return None;
            }
            new.extend_from_slice(copied);
            new.extend_from_slice(&piece.insert);
        }
        Some(new)
    }

    /// Returns the encoded size of the patch, in bytes.
    #[must_use]
    pub fn encoded_bytes(&self) -> usize {
        self.pieces.iter().map(Message::encoded_len).sum()
    }

    /// Adds the difference between two sequences of lines; `old` begins at `offset` in the old
    /// value.
    fn add_lines(&mut self, offset: usize, old: &[u8], new: &[u8]) {
        let old = OldLines::new(offset, old);
        let new: Vec<&[u8]> = split_lines(new).collect();
        let mut old_index = 0;
        let mut new_index = 0;
        while new_index < new.len() {
            if old.lines.get(old_index) == Some(&new[new_index]) {
                self.copy(old.offsets[old_index], new[new_index].len());
                old_index += 1;
                new_index += 1;
                continue;
            }
            let (resumed_old, resumed_new) = old.resume(&new, new_index);
            for line in &new[new_index..resumed_new] {
                self.insert(line);
            }
            old_index = resumed_old;
            new_index = resumed_new;
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

/// Lines of the old value, indexed for the search of common lines.
struct OldLines<'a> {
    lines: Vec<&'a [u8]>,
    /// Offset of each line in the whole old value, in bytes.
    offsets: Vec<usize>,
    /// Index of each line that occurs exactly once; `None` for lines that occur several times.
    unique: HashMap<&'a [u8], Option<usize>>,
}

impl<'a> OldLines<'a> {
    fn new(offset: usize, text: &'a [u8]) -> Self {
        let lines: Vec<&[u8]> = split_lines(text).collect();
        let mut offsets = Vec::with_capacity(lines.len());
        let mut unique = HashMap::with_capacity(lines.len());
        let mut next = offset;
        for (index, line) in lines.iter().copied().enumerate() {
            offsets.push(next);
            next += line.len();
            unique
                .entry(line)
                .and_modify(|unique_index| *unique_index = None)
                .or_insert(Some(index));
        }
        Self {
            lines,
            offsets,
            unique,
        }
    }

    /// Returns the line indexes in the old and the new value from which both have common lines
    /// again, or the ends of both if there are none.
    fn resume(&self, new: &[&[u8]], new_index: usize) -> (usize, usize) {
        let common = new[new_index..]
            .iter()
            .zip(new_index..)
            .find_map(|(line, at)| Some((self.unique.get(line).copied().flatten()?, at)));
        let Some((mut old_index, mut at)) = common else {
            return (self.lines.len(), new.len());
        };
        while at > new_index && old_index > 0 && self.lines[old_index - 1] == new[at - 1] {
            at -= 1;
            old_index -= 1;
        }
        (old_index, at)
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
