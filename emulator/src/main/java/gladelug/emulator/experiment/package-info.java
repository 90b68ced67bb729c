/**
 * Ablation: a bench plays days with one mechanism of the data plane after the other switched off,
 * and a table and a chart say what callers get by each.
 */
package gladelug.emulator.experiment;
