package gladelug.emulator;

/**
 * Names the scenario that replaces all core machines of a fleet of real processes under load: all
 * three are swapped in turn, and a relay that was suspended meanwhile finds the new ones through
 * its neighbours' shuffles, although no seed or known core machine is left.
 */
public final class CoreRehearsal {
  private CoreRehearsal() {}
}
