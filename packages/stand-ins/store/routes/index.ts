import './read-key.js';
import './list-keys.js';
import './write-key.js';
import './remove-key.js';
import './watch-keys.js';
