//! The graph of imports between the modules of a crate, and its cycles.

use super::Cycle;
use super::imports::imported_paths;
use super::module_path::ModulePath;
use crate::source_tree::SourceFile;
use std::collections::{BTreeMap, BTreeSet};

/// The modules of a crate, each with the modules that it imports from.
pub(super) struct ImportGraph {
    /// The modules that each module imports from.
    imports: BTreeMap<ModulePath, BTreeSet<ModulePath>>,
}

impl ImportGraph {
    /// Builds the graph of the imports in the files of a crate.
    pub(super) fn new<'a>(files: impl Iterator<Item = &'a SourceFile>) -> Self {
        let module_texts = files.map(|file| (ModulePath::of_file(&file.path), file.text.as_str()));
        let text_by_module: BTreeMap<ModulePath, &str> = module_texts.collect();
        let modules: BTreeSet<ModulePath> = text_by_module.keys().cloned().collect();
        let imports = text_by_module.into_iter().map(|(module, text)| {
            let imported = imported_modules(&module, text, &modules);
            (module, imported)
        });
        ImportGraph {
            imports: imports.collect(),
        }
    }

    /// Returns each cycle once.
    pub(super) fn cycles(&self) -> Vec<Cycle> {
        let reachable: BTreeMap<&ModulePath, BTreeSet<&ModulePath>> = self
            .imports
            .keys()
            .map(|module| (module, self.reachable_from(module)))
            .collect();
        let mut in_cycles = BTreeSet::new();
        let mut cycles = Vec::new();
        for (module, reached) in &reachable {
            if !reached.contains(module) || in_cycles.contains(module) {
                continue;
            }
            let leads_back = |other: &&ModulePath| reachable[*other].contains(module);
            let members: BTreeSet<&ModulePath> =
                reached.iter().copied().filter(leads_back).collect();
            in_cycles.extend(members.iter().copied());
            cycles.push(self.cycle_among(&members));
        }
        cycles
    }

    /// Returns the modules that can be reached from a module through one or more imports.
    fn reachable_from(&self, module: &ModulePath) -> BTreeSet<&ModulePath> {
        let mut reached = BTreeSet::new();
        let mut unvisited: Vec<&ModulePath> = self.imports[module].iter().collect();
        while let Some(next) = unvisited.pop() {
            if reached.insert(next) {
                unvisited.extend(&self.imports[next]);
            }
        }
        reached
    }

    /// Returns the cycle that consists of these modules.
    fn cycle_among(&self, members: &BTreeSet<&ModulePath>) -> Cycle {
        let mut imports = Vec::new();
        for importer in members {
            let within_cycle = self.imports[*importer]
                .iter()
                .filter(|imported| members.contains(imported))
                .map(|imported| ((*importer).clone(), imported.clone()));
            imports.extend(within_cycle);
        }
        Cycle {
            module_count: members.len(),
            imports,
        }
    }
}

/// Returns the modules that a module imports from. Each path counts as an import from the innermost
/// module that contains it. The crate root, the module itself and its descendants are left out.
fn imported_modules(
    module: &ModulePath,
    text: &str,
    modules: &BTreeSet<ModulePath>,
) -> BTreeSet<ModulePath> {
    imported_paths(text)
        .iter()
        .filter_map(|path| module.resolve(path))
        .filter_map(|path| {
            path.with_ancestors()
                .find(|ancestor| modules.contains(ancestor))
        })
        .filter(|imported| !imported.is_within(module))
        .collect()
}
