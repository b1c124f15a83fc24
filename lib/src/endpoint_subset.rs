//! Which endpoints of a service an entry keeps in touch with.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use crate::rendezvous;

/// Endpoints of one service that one entry keeps in touch with.
///
/// Entries and endpoints are divided into groups, so that entries which share one endpoint share
/// most of the others: each then learns more of what the others' sends do, and a prefix has its
/// home at fewer endpoints.
///
/// All pairs of an entry and an endpoint stand in one order, those of one group first, then by
/// rendezvous weight. A pair is taken while its entry lacks endpoints and its endpoint lacks entries: first up to `entries * size /
/// endpoints` entries for each endpoint, rounded down, so that none is left out, then up to one
/// more. An entry that is left short takes its next pairs beyond that bound. Entries
/// that know different lists choose unevenly, no worse.
#[derive(Debug)]
pub struct EndpointSubset<'a> {
    /// Service whose endpoints are chosen.
    pub service: &'a str,
    /// Endpoints that each entry chooses.
    pub size: usize,
}

/// Pairs of one group first, then by falling weight.
type PairOrder = (bool, Reverse<u64>);

impl EndpointSubset<'_> {
    /// Returns the endpoints of `own_entry`, which need not be among `entries`, in name order.
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
        let chosen = self.choose_own(own, &entries, &endpoints);
        let chosen = chosen.into_iter().map(|index| endpoints[index].to_owned());
        chosen.collect()
    }

    fn choose_own(&self, own: usize, entries: &[&str], endpoints: &[&str]) -> BTreeSet<usize> {
        let pairs = self.ordered_pairs(entries, endpoints);
        let wanted_pairs = entries.len() * self.size;
        let bounds = [
            wanted_pairs / endpoints.len(),
            wanted_pairs / endpoints.len() + 1,
        ];
        let mut endpoints_of_entry = vec![0; entries.len()];
        let mut entries_of_endpoint = vec![0; endpoints.len()];
        let mut is_taken = vec![false; pairs.len()];
        for bound in bounds {
            for (position, (_, entry, endpoint)) in pairs.iter().enumerate() {
                let is_full = entries_of_endpoint[*endpoint] >= bound;
                if is_taken[position] || is_full || endpoints_of_entry[*entry] == self.size {
                    continue;
                }
                endpoints_of_entry[*entry] += 1;
                entries_of_endpoint[*endpoint] += 1;
                is_taken[position] = true;
            }
        }
        let taken = pairs.iter().zip(is_taken);
        let own_taken = taken.filter(|((_, entry, _), is_taken)| *entry == own && *is_taken);
        let mut chosen: BTreeSet<usize> =
            own_taken.map(|((_, _, endpoint), _)| *endpoint).collect();
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
        let most_entries = entries.len().div_ceil(group_count);
        let entry_groups = self.groups_of(entries, group_count, &[most_entries]);
        let least_endpoints = endpoints.len() / group_count;
        let bounds = [least_endpoints, least_endpoints + 1];
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

    /// Returns a power of two near the number of subsets that make up all endpoints; it seldom
    /// changes, since with it most pairs do.
    fn group_count(&self, endpoints: usize) -> usize {
        let mut group_count = 1;
        while 2 * endpoints >= 3 * group_count * self.size.max(1) {
            group_count *= 2;
        }
        group_count
    }

    /// Returns the group of each name.
    ///
    /// All pairs of a name and a group stand in one order by rendezvous weight and are taken under
    /// each of the bounds on a group's size in turn; the last one has room for all names.
    fn groups_of(&self, names: &[&str], group_count: usize, bounds: &[usize]) -> Vec<usize> {
        let mut pairs = Vec::with_capacity(names.len() * group_count);
        for group in 0..group_count {
            let chooser = group.to_string();
            for (position, name) in names.iter().enumerate() {
                let weight = rendezvous::weight(&chooser, name, self.service);
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
