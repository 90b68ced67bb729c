/**
 * Ablation: a bench plays days with one mechanism of the data plane after the other switched off,
 * and a table and a chart say what each is worth.
 */
package gladelug.emulator.experiment;
