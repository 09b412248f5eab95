/** HTTP header fields in their order, with names as they came. */
export type HeaderList = readonly (readonly [name: string, value: string])[];
