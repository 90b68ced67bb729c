package gladelug.common;

/**
 * A problem found in a document or setting.
 *
 * @param place the line, column and path of the field, or the name of the flag
 * @param what what is wrong with it
 */
public record Finding(String place, String what) {
  @Override
  public String toString() {
    return place + ": " + what;
  }
}
