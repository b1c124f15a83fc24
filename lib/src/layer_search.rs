//! Cheap improvements of one layer's layout.

use crate::LayerLayout;
use crate::expert_packing::repack_layer;
use crate::layer_layout::skew_of;

const MAX_STEPS: usize = 24;
/// Skew from which on the layer is also packed anew, in case the local search is stuck.
const REPACK_SKEW: f64 = 1.03;
const MIN_IMPROVEMENT: f64 = 1e-6;

/// One point of the trade of skew against moves: a layout, and what it costs to get there.
#[derive(Debug, Clone)]
pub(crate) struct SearchPoint {
    pub(crate) layout: LayerLayout,
    pub(crate) moves: usize,
    pub(crate) skew: f64,
}

/// A change of one or two slots; an expert is loaded into each slot that gets one.
#[derive(Debug, Clone, Copy)]
struct Change {
    slot: usize,
    expert: Option<usize>,
    other: Option<(usize, Option<usize>)>,
}

/// Where further search is of no use.
#[derive(Debug, Clone, Copy)]
struct SearchLimits {
    /// Skew that each move has to win.
    least_gain: f64,
    /// Moves that pay only when they win all the skew there is.
    most_moves: f64,
}

impl SearchLimits {
    /// Returns whether no layout with more moves than this one can pay.
    fn end(self, point: &SearchPoint) -> bool {
        let moves = f64::from(u32::try_from(point.moves).unwrap_or(u32::MAX));
        point.skew - 1.0 <= self.least_gain || moves >= self.most_moves
    }
}

struct Search<'a> {
    expert_loads: &'a [f64],
    layout: LayerLayout,
    counts: Vec<u32>,
    /// The slots that hold each expert.
    holders: Vec<Vec<usize>>,
    rank_loads: Vec<f64>,
    /// The penalty of each rank's load.
    penalties: Vec<f64>,
    mean: f64,
    /// Change of load of the ranks in `touched`, zero for all others.
    deltas: Vec<f64>,
    is_touched: Vec<bool>,
    touched: Vec<usize>,
}

/// Returns the trade of skew against moves, from the given layout on: each point adds the change
/// that improves the balance most for each replica that it loads.
///
/// The search ends where no move can lower the skew by `least_gain` any more.
pub(crate) fn improve(
    layout: &LayerLayout,
    expert_loads: &[f64],
    least_gain: f64,
) -> Vec<SearchPoint> {
    let mut points = Vec::new();
    let limits = SearchLimits {
        least_gain,
        most_moves: (layout.skew(expert_loads) - 1.0) / least_gain,
    };
    let search = |start| Search::new(start, expert_loads);
    descend(search(layout.clone()), layout, limits, &mut points);
    let skew = points.last().map_or(1.0, |point| point.skew);
    if skew >= REPACK_SKEW {
        let repacked = repack_layer(layout, expert_loads);
        descend(search(repacked), layout, limits, &mut points);
    }
    points
}

/// Adds the points from the start of `search` on; their moves count from `origin`.
fn descend(
    mut search: Search,
    origin: &LayerLayout,
    limits: SearchLimits,
    points: &mut Vec<SearchPoint>,
) {
    let mut point = search.point(origin);
    for _ in 0..MAX_STEPS {
        if limits.end(&point) {
            break;
        }
        points.push(point);
        let Some(change) = search.best_change() else {
            return;
        };
        search.apply(change);
        point = search.point(origin);
    }
    points.push(point);
}

impl<'a> Search<'a> {
    fn new(layout: LayerLayout, expert_loads: &'a [f64]) -> Self {
        let rank_count = u32::try_from(layout.rank_count()).unwrap_or(u32::MAX);
        let total: f64 = expert_loads.iter().sum();
        let mut search = Self {
            counts: Vec::new(),
            holders: Vec::new(),
            rank_loads: Vec::new(),
            penalties: Vec::new(),
            mean: total / f64::from(rank_count),
            deltas: vec![0.0; layout.rank_count()],
            is_touched: vec![false; layout.rank_count()],
            touched: Vec::new(),
            expert_loads,
            layout,
        };
        search.index();
        search
    }

    /// Derives what the search looks up from the layout.
    fn index(&mut self) {
        self.counts = self.layout.replica_counts(self.expert_loads.len());
        self.rank_loads = self.layout.rank_loads(self.expert_loads);
        let rank_loads = self.rank_loads.iter();
        self.penalties = rank_loads.map(|load| self.penalty(*load)).collect();
        self.holders = vec![Vec::new(); self.expert_loads.len()];
        for (slot, expert) in self.layout.slots().iter().enumerate() {
            if let Some(expert) = expert {
                self.holders[*expert].push(slot);
            }
        }
    }

    fn point(&self, origin: &LayerLayout) -> SearchPoint {
        SearchPoint {
            layout: self.layout.clone(),
            moves: self.layout.moves_from(origin),
            skew: skew_of(&self.rank_loads),
        }
    }

    fn best_change(&mut self) -> Option<Change> {
        let mut best = None;
        let mut best_score = MIN_IMPROVEMENT;
        for change in self.candidates() {
            let Some(score) = self.score(change) else {
                continue;
            };
            if score > best_score {
                best_score = score;
                best = Some(change);
            }
        }
        best
    }

    fn candidates(&self) -> Vec<Change> {
        let ranks = 0..self.rank_loads.len();
        let by_load = |a: &usize, b: &usize| self.rank_loads[*a].total_cmp(&self.rank_loads[*b]);
        let mut changes = Vec::new();
        if let Some(hottest) = ranks.clone().max_by(by_load) {
            for from in self.layout.rank_slots(hottest) {
                self.relieve(from, &mut changes);
                self.replace(from, &mut changes);
            }
        }
        if let Some(coldest) = ranks.min_by(by_load) {
            for slot in self.layout.rank_slots(coldest) {
                self.replace(slot, &mut changes);
            }
        }
        changes
    }

    /// Adds the changes that take load from the replica in slot `from`.
    fn relieve(&self, from: usize, changes: &mut Vec<Change>) {
        let Some(expert) = self.layout.slots()[from] else {
            return;
        };
        for (slot, other) in self.layout.slots().iter().enumerate() {
            let rank = self.layout.rank_of(slot);
            if self.rank_loads[rank] >= self.mean || *other == Some(expert) {
                continue;
            }
            let replicate = Change {
                slot,
                expert: Some(expert),
                other: None,
            };
            changes.push(replicate);
            changes.push(Change {
                other: Some((from, None)),
                ..replicate
            });
            changes.push(Change {
                other: Some((from, *other)),
                ..replicate
            });
        }
    }

    /// Adds the changes that put another expert, or none, into a slot.
    fn replace(&self, slot: usize, changes: &mut Vec<Change>) {
        let experts = (0..self.expert_loads.len()).map(Some);
        changes.extend(experts.chain([None]).map(|expert| Change {
            slot,
            expert,
            other: None,
        }));
    }

    /// Returns the improvement for each replica loaded, or nothing when the change is not allowed.
    fn score(&mut self, change: Change) -> Option<f64> {
        let writes = change.writes();
        if !self.is_allowed(&writes) {
            return None;
        }
        let loaded = writes.iter().flatten();
        let loaded = loaded.filter(|(_, expert)| expert.is_some()).count();
        let cost = f64::from(u32::try_from(loaded.max(1)).unwrap_or(u32::MAX));
        Some(self.improvement(&writes) / cost)
    }

    fn is_allowed(&self, writes: &[Option<(usize, Option<usize>)>; 2]) -> bool {
        for (slot, expert) in writes.iter().flatten() {
            let rank = self.layout.rank_of(*slot);
            if expert.is_some_and(|expert| self.layout.holds(rank, expert)) {
                return false;
            }
            let Some(old) = self.layout.slots()[*slot] else {
                continue;
            };
            let elsewhere = writes.iter().flatten();
            let comes_back = elsewhere.filter(|write| write.1 == Some(old)).count() > 0;
            if self.counts[old] == 1 && !comes_back {
                return false;
            }
        }
        true
    }

    /// Returns by how much the sum of the ranks' penalties falls.
    fn improvement(&mut self, writes: &[Option<(usize, Option<usize>)>; 2]) -> f64 {
        let mut changed: [(usize, i32); 4] = [(usize::MAX, 0); 4];
        for (slot, expert) in writes.iter().flatten() {
            note_count(&mut changed, self.layout.slots()[*slot], -1);
            note_count(&mut changed, *expert, 1);
        }
        for (expert, count) in changed {
            if expert != usize::MAX && count != 0 {
                let delta = self.new_share(&changed, expert) - self.share(expert);
                for holder in 0..self.holders[expert].len() {
                    let rank = self.layout.rank_of(self.holders[expert][holder]);
                    self.add_load(rank, delta);
                }
            }
        }
        for (slot, expert) in writes.iter().flatten() {
            let lost = self.layout.slots()[*slot];
            let lost = lost.map_or(0.0, |expert| self.new_share(&changed, expert));
            let gained = expert.map_or(0.0, |expert| self.new_share(&changed, expert));
            self.add_load(self.layout.rank_of(*slot), gained - lost);
        }
        let mut fall = 0.0;
        while let Some(rank) = self.touched.pop() {
            self.is_touched[rank] = false;
            let load = self.rank_loads[rank];
            let delta = std::mem::take(&mut self.deltas[rank]);
            fall += self.penalties[rank] - self.penalty(load + delta);
        }
        fall
    }

    fn share(&self, expert: usize) -> f64 {
        self.expert_loads[expert] / f64::from(self.counts[expert])
    }

    fn new_share(&self, changed: &[(usize, i32); 4], expert: usize) -> f64 {
        let change = changed.iter().find(|(changed, _)| *changed == expert);
        let count = self.counts[expert].saturating_add_signed(change.map_or(0, |c| c.1));
        self.expert_loads[expert] / f64::from(count.max(1))
    }

    fn add_load(&mut self, rank: usize, delta: f64) {
        if !self.is_touched[rank] {
            self.is_touched[rank] = true;
            self.touched.push(rank);
        }
        self.deltas[rank] += delta;
    }

    /// Grows steeply with the load over the mean, so that the highest loads weigh most.
    fn penalty(&self, load: f64) -> f64 {
        let squared = (load / self.mean).powi(2);
        squared.powi(8)
    }

    fn apply(&mut self, change: Change) {
        for (slot, expert) in change.writes().iter().flatten() {
            self.layout.set(*slot, *expert);
        }
        self.index();
    }
}

impl Change {
    fn writes(&self) -> [Option<(usize, Option<usize>)>; 2] {
        [Some((self.slot, self.expert)), self.other]
    }
}

fn note_count(changed: &mut [(usize, i32); 4], expert: Option<usize>, by: i32) {
    let Some(expert) = expert else {
        return;
    };
    let entry = changed
        .iter_mut()
        .find(|(noted, _)| *noted == expert || *noted == usize::MAX);
    if let Some(entry) = entry {
        *entry = (expert, entry.1 + by);
    }
}
