//! Which endpoints of a service an entry keeps in touch with.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use crate::rendezvous;

/// Endpoints of one service that one entry keeps in touch with.
///
/// All pairs of an entry and an endpoint stand in one order by rendezvous weight. A pair is taken
/// while its entry lacks endpoints and its endpoint lacks entries: first up to `entries * size /
/// endpoints` entries for each endpoint, rounded down, so that none is left out, then up to that
/// number rounded up. An entry that is left short takes its next pairs beyond that bound. Entries
/// that know different lists choose unevenly, no worse.
#[derive(Debug)]
pub struct EndpointSubset<'a> {
    /// Service whose endpoints are chosen.
    pub service: &'a str,
    /// Endpoints that each entry chooses.
    pub size: usize,
}

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
            wanted_pairs.div_ceil(endpoints.len()),
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
    ) -> Vec<(Reverse<u64>, usize, usize)> {
        let mut pairs = Vec::with_capacity(entries.len() * endpoints.len());
        for (entry, entry_name) in entries.iter().enumerate() {
            for (endpoint, endpoint_name) in endpoints.iter().enumerate() {
                let weight = rendezvous::weight(entry_name, endpoint_name, self.service);
                pairs.push((Reverse(weight), entry, endpoint));
            }
        }
        pairs.sort_unstable();
        pairs
    }
}
