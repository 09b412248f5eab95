/** HTTP header fields in order of arrival, with the original case of names. */
export type HeaderList = readonly (readonly [name: string, value: string])[];
