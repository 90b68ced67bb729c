/**
 * Ablation experiments: a bench runs days with one data plane mechanism disabled at a time, and a
 * table and a chart show the contribution of each.
 */
package gladelug.emulator.experiment;
