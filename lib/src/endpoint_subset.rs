//! Selection of the endpoints of a service that an entry monitors and sends to.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use crate::rendezvous;

/// Deterministic selection of the endpoints of one service that one entry monitors and sends to
/// (its subset).
///
/// Entries and endpoints are divided into groups, so that entries which share one endpoint share
/// most of the others. Each entry then sees more of the effect of the other entries' requests, and
/// a prefix has its home at fewer endpoints.
///
/// All pairs of an entry and an endpoint are sorted: pairs within one group first, then by
/// rendezvous weight. A pair is selected while its entry has fewer than `size` endpoints and its
/// endpoint is below a bound on its entries. The bound is `entries * size / endpoints`, rounded
/// down, in a first pass, so that every endpoint is selected, and one more in a second pass. An
/// entry that still has too few endpoints takes its next pairs regardless of the bound. Entries
/// whose lists differ only spread their selections less evenly.
#[derive(Debug)]
pub struct EndpointSubset<'a> {
    /// Service whose endpoints are selected.
    pub service: &'a str,
    /// Number of endpoints in the subset of each entry.
    pub size: usize,
}

/// Sort key of a pair: pairs within one group first, then by descending weight.
type PairOrder = (bool, Reverse<u64>);

impl EndpointSubset<'_> {
    /// Returns the subset of `own_entry`, which need not be among `entries`, sorted by name.
    #[must_use]
    pub fn choose(&self, own_entry: &str, entries: &[&str], endpoints: &[&str]) -> Vec<String> {
        let mut entries: Vec<&str> = entries.to_vec();
        entries.push(own_entry);
        entries.sort_unstable();
        entries.dedup();
        let mut endpoints: Vec<&str> = endpoints.to_vec();
        endpoints.sort_unstable();
        endpoints.dedup();
        if endpoints.len() <= self.size {
            return endpoints.into_iter().map(str::to_owned).collect();
        }
        let own = entries.binary_search(&own_entry).unwrap_or(0);
        let chosen = self.choose_for(own, &entries, &endpoints);
        let chosen = chosen.into_iter().map(|index| endpoints[index].to_owned());
        chosen.collect()
    }

    fn choose_for(&self, own: usize, entries: &[&str], endpoints: &[&str]) -> BTreeSet<usize> {
        let pairs = self.ordered_pairs(entries, endpoints);
        let total_pairs = entries.len() * self.size;
        let bounds = [
            total_pairs / endpoints.len(),
            total_pairs / endpoints.len() + 1,
        ];
        let mut endpoints_of_entry = vec![0; entries.len()];
        let mut entries_of_endpoint = vec![0; endpoints.len()];
        let mut is_selected = vec![false; pairs.len()];
        for bound in bounds {
            for (position, (_, entry, endpoint)) in pairs.iter().enumerate() {
                let is_full = entries_of_endpoint[*endpoint] >= bound;
                if is_selected[position] || is_full || endpoints_of_entry[*entry] == self.size {
                    continue;
                }
                endpoints_of_entry[*entry] += 1;
                entries_of_endpoint[*endpoint] += 1;
                is_selected[position] = true;
            }
        }
        let selected = pairs.iter().zip(is_selected);
        let own_selected =
            selected.filter(|((_, entry, _), is_selected)| *entry == own && *is_selected);
        let mut chosen: BTreeSet<usize> = own_selected
            .map(|((_, _, endpoint), _)| *endpoint)
            .collect();
        for (_, _, endpoint) in pairs.iter().filter(|(_, entry, _)| *entry == own) {
            if chosen.len() < self.size {
                chosen.insert(*endpoint);
            }
        }
        chosen
    }

    fn ordered_pairs(
        &self,
        entries: &[&str],
        endpoints: &[&str],
    ) -> Vec<(PairOrder, usize, usize)> {
        let group_count = self.group_count(endpoints.len());
        let max_entries = entries.len().div_ceil(group_count);
        let entry_groups = self.groups_of(entries, group_count, &[max_entries]);
        let min_endpoints = endpoints.len() / group_count;
        let bounds = [min_endpoints, min_endpoints + 1];
        let endpoint_groups = self.groups_of(endpoints, group_count, &bounds);
        let mut pairs = Vec::with_capacity(entries.len() * endpoints.len());
        for (entry, entry_name) in entries.iter().enumerate() {
            for (endpoint, endpoint_name) in endpoints.iter().enumerate() {
                let is_other_group = entry_groups[entry] != endpoint_groups[endpoint];
                let weight = rendezvous::weight(entry_name, endpoint_name, self.service);
                pairs.push(((is_other_group, Reverse(weight)), entry, endpoint));
            }
        }
        pairs.sort_unstable();
        pairs
    }

    /// Returns the number of groups: a power of two near `endpoints / size`. Powers of two keep the
    /// number stable, since a change of it moves most pairs.
    fn group_count(&self, endpoints: usize) -> usize {
        let mut group_count = 1;
        while 2 * endpoints >= 3 * group_count * self.size.max(1) {
            group_count *= 2;
        }
        group_count
    }

    /// Returns the group of each name.
    ///
    /// All pairs of a name and a group are sorted by rendezvous weight and assigned in one pass for
    /// each bound on the size of a group; the last bound leaves room for all names.
    fn groups_of(&self, names: &[&str], group_count: usize, bounds: &[usize]) -> Vec<usize> {
        let mut pairs = Vec::with_capacity(names.len() * group_count);
        for group in 0..group_count {
            let group_name = group.to_string();
            for (position, name) in names.iter().enumerate() {
                let weight = rendezvous::weight(&group_name, name, self.service);
                pairs.push((Reverse(weight), position, group));
            }
        }
        pairs.sort_unstable();
        let mut groups = vec![None; names.len()];
        let mut sizes = vec![0; group_count];
        for &bound in bounds {
            for &(_, position, group) in &pairs {
                if groups[position].is_none() && sizes[group] < bound {
                    groups[position] = Some(group);
                    sizes[group] += 1;
                }
            }
        }
        groups.into_iter().flatten().collect()
    }
}
