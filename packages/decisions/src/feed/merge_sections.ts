import type {WorkSection} from './work_section.js';

function canAppend(a: WorkSection, b: WorkSection): boolean {
  return b.lastNumber - b.changes.length === a.lastNumber;
}

/**
 * Joins successive sections of the same owner, so that a batch names each owner
 * once. Sections that overlap or leave a gap stay apart, in their order.
 */
export function mergeSections(
  sections: readonly WorkSection[],
): readonly WorkSection[] {
  const merged: WorkSection[] = [];
  const indexOf = new Map<string, number>();
  sections.forEach(section => {
    const i = indexOf.get(section.owner);
    const last = i === undefined ? undefined : merged[i];
    if (i === undefined || !last || !canAppend(last, section)) {
      indexOf.set(section.owner, merged.length);
      merged.push(section);
      return;
    }
    merged[i] = {...section, changes: [...last.changes, ...section.changes]};
  });
  return merged;
}
