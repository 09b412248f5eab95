/** Memory above which the machine of a gateway kills it. */
export const MEMORY_LIMIT_MB = 350;
